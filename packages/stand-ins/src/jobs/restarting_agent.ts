import {FakeRunWorker} from './fake_run_worker.js';
import type {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import {UnreliableAgentLink} from './unreliable_agent_link.js';

/** An agent and its worker, whose processes may start again. */
export class RestartingAgent {
  private readonly links: UnreliableAgentLink[] = [];
  private worker: FakeRunWorker;
  private workerIncarnation = 1;
  private agent: ReturnType<JobFleetFixture['startAgent']>;

  constructor(
    private readonly fleet: JobFleetFixture,
    private readonly name: string,
    /** Is told of each incarnation of the worker. */
    private readonly onWorkerStarted: (worker: FakeRunWorker) => void,
  ) {
    this.worker = this.startWorker();
    this.agent = this.startAgent();
  }

  /** Opens an unreliable link to an owner. */
  linkTo(owner: OwnerFixture): UnreliableAgentLink {
    const {clock} = this.fleet;
    const join = () => this.fleet.link(this.agent, owner);
    const link = new UnreliableAgentLink(clock, join);
    this.links.push(link);
    return link;
  }

  /** Ends the agent process; the next one finds the worker as it is. */
  restartAgent(): void {
    for (const link of this.links) link.close();
    this.agent.kill();
    this.agent = this.startAgent();
    for (const link of this.links) link.reopen();
  }

  /** Crashes the worker; the next incarnation joins at the instant. */
  async restartWorker(startInstant: number): Promise<void> {
    const {worker} = this;
    worker.exit();
    await this.fleet.clock.sleepUntil(startInstant);
    if (this.worker !== worker) return;
    this.workerIncarnation += 1;
    this.worker = this.startWorker();
    this.agent.register(this.worker, this.life);
  }

  private get life(): string {
    return `${this.name}@${this.workerIncarnation}`;
  }

  private startWorker(): FakeRunWorker {
    const {clock, history} = this.fleet;
    const worker = new FakeRunWorker(clock, history);
    this.onWorkerStarted(worker);
    return worker;
  }

  private startAgent() {
    return this.fleet.startAgent(this.name, this.worker, this.life);
  }
}
