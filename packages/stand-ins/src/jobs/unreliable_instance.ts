import type {JobFleetFixture} from './job_fleet_fixture.js';
import {KillableWorkerClient} from './killable_worker_client.js';
import type {OwnerFixture} from './owner_fixture.js';
import {ProcessSuspension} from './process_suspension.js';
import type {RivalWorker} from './rival_worker_types.js';
import {UnreliableAgentLink} from './unreliable_agent_link.js';
import {UnreliableWorker} from './unreliable_worker.js';
import type {UnreliableWorkerOptions} from './unreliable_worker_options_types.js';

const MAX_REGISTRATION_DELAY_MILLISECONDS = 1_100;
const MAX_DOWN_MILLISECONDS = 5_000;
const MIN_DRAINING_MILLISECONDS = 2_000;
const MAX_DRAINING_MILLISECONDS = 6_000;
/** Time for which a worker goes on that got no answer to its deregistration. */
const MAX_UNACKNOWLEDGED_MILLISECONDS = 4_000;
const MAX_LINK_FAULT_MILLISECONDS = 15_000;
const MAX_LINK_DELAY_MILLISECONDS = 2_500;
/** Shares of the calls to the worker while it is unreliable. */
const MAX_UNANSWERED_SHARE = 0.6;
const MAX_REJECTED_SHARE = 0.2;
const MIN_REFUSAL_MILLISECONDS = 300;
const MAX_REFUSAL_MILLISECONDS = 3_000;
/** Longer than the time after which owners give an agent's runs up. */
const MAX_SUSPENSION_MILLISECONDS = 20_000;
/** Time after which an owner that hears nothing closes the link. */
const LIVENESS_MILLISECONDS = 3_000;
/** Time from the end of a suspension to that of the links that it broke. */
const REJOIN_MILLISECONDS = 200;
const LINK_FAULTS = ['cut', 'agent-unheard', 'owner-unheard', 'slow'] as const;

const RELIABLE = {unansweredShare: 0, rejectedShare: 0};

/** An agent process and its worker; both end and start again. */
export class UnreliableInstance {
  private options: UnreliableWorkerOptions = RELIABLE;
  private workerCount = 0;
  private life = '';
  private isLeaving = false;
  private worker: UnreliableWorker | undefined;
  private agent: ReturnType<JobFleetFixture['openAgent']> | undefined;
  private readonly links: UnreliableAgentLink[] = [];

  constructor(
    private readonly fleet: JobFleetFixture,
    private readonly name: string,
    private readonly random: () => number,
    /** Is told of each incarnation of the worker. */
    private readonly onWorkerStarted: (worker: RivalWorker) => void,
  ) {
    this.agent = fleet.openAgent(name, new ProcessSuspension());
    this.startWorker();
  }

  /** Links the agent to an owner, and each later agent process as well. */
  linkTo(owner: OwnerFixture): UnreliableAgentLink {
    const {fleet} = this;
    const join = () => fleet.link(this.agent!, owner);
    const link = new UnreliableAgentLink(fleet.clock, join);
    this.links.push(link);
    return link;
  }

  /** Sets what becomes of the calls to the worker from now on. */
  setOptions(options: UnreliableWorkerOptions): void {
    this.options = options;
    if (this.worker) this.worker.options = options;
  }

  /** Makes the calls to the worker reliable or not. */
  changeCalls(): void {
    const {random} = this;
    const some = MAX_UNANSWERED_SHARE * random();
    const unansweredShare = this.pick([0, some, some, some, 1]);
    const isReliable = unansweredShare === 0;
    const rejectedShare = isReliable ? 0 : MAX_REJECTED_SHARE * random();
    this.setOptions({unansweredShare, rejectedShare});
  }

  /** Lets the path to the worker refuse connections; the worker goes on. */
  refuseConnections(): void {
    const {worker, random} = this;
    const range = MAX_REFUSAL_MILLISECONDS - MIN_REFUSAL_MILLISECONDS;
    const duration = MIN_REFUSAL_MILLISECONDS + range * random();
    if (worker) worker.refusalDeadline = this.fleet.clock.now() + duration;
  }

  /** Ends every fault of calls and links. */
  recover(): void {
    this.setOptions(RELIABLE);
    for (const link of this.links) link.recover();
    this.agent?.suspension.resume();
  }

  harmLink(): void {
    const {random} = this;
    if (!this.agent) return;
    const deadline =
      this.fleet.clock.now() + MAX_LINK_FAULT_MILLISECONDS * random();
    const delay = MAX_LINK_DELAY_MILLISECONDS * random();
    const link = this.pick(this.links);
    void link.harm(this.pick(LINK_FAULTS), deadline, delay);
  }

  /** Kills the agent process and starts it again a while later. */
  async restartAgent(): Promise<void> {
    const {agent} = this;
    if (!agent) return;
    this.agent = undefined;
    agent.stop();
    for (const link of this.links) link.close();
    await this.sleep(MAX_DOWN_MILLISECONDS * this.random());
    this.agent = this.fleet.openAgent(this.name, new ProcessSuspension());
    for (const link of this.links) link.reopen();
    await this.register();
  }

  /** Suspends the agent process; owners give their links to it up. */
  async suspendAgent(): Promise<void> {
    const {agent, links} = this;
    const {clock} = this.fleet;
    if (!agent || agent.suspension.isSuspended) return;
    const deadline = clock.now() + MAX_SUSPENSION_MILLISECONDS * this.random();
    agent.suspension.suspend();
    clock.schedule(deadline, () => agent.suspension.resume());
    await this.sleep(LIVENESS_MILLISECONDS);
    if (this.agent === agent && agent.suspension.isSuspended)
      for (const link of links) link.giveUp();
    await agent.suspension.awake();
    await this.sleep(REJOIN_MILLISECONDS);
    for (const link of links) link.rejoinIfGivenUp();
  }

  /** Crashes the worker; it starts again, perhaps under its id. */
  async crashWorker(): Promise<void> {
    const {worker} = this;
    if (!worker || this.isLeaving) return;
    this.worker = undefined;
    worker.exit();
    await this.sleep(MAX_DOWN_MILLISECONDS * this.random());
    this.startWorker();
  }

  /** Lets the worker drain, deregister and end; another one starts. */
  async removeWorker(): Promise<void> {
    const {worker, random} = this;
    if (!worker || this.isLeaving) return;
    this.isLeaving = true;
    await this.register();
    const range = MAX_DRAINING_MILLISECONDS - MIN_DRAINING_MILLISECONDS;
    await this.sleep(MIN_DRAINING_MILLISECONDS + range * random());
    const {agent} = this;
    agent?.suspension.whenAwake(() => agent.agent.deregisterWorker());
    const isAcknowledged = this.agent !== undefined && random() < 1 / 2;
    if (!isAcknowledged)
      await this.sleep(MAX_UNACKNOWLEDGED_MILLISECONDS * random());
    this.worker = undefined;
    worker.exit();
    await this.sleep(MAX_DOWN_MILLISECONDS * random());
    this.startWorker();
  }

  private startWorker(): void {
    const {fleet, random} = this;
    this.workerCount += 1;
    const id =
      random() < 1 / 2 ? this.name : `${this.name}-${this.workerCount}`;
    this.life = `${id}@${this.workerCount}`;
    this.isLeaving = false;
    const number = this.workerCount;
    const worker = new UnreliableWorker(
      fleet.clock,
      random,
      fleet.history,
      () => this.workerCount > number,
    );
    worker.options = this.options;
    this.worker = worker;
    this.onWorkerStarted(worker);
    void this.register();
  }

  /** The worker registers, unless it or the agent ends before. */
  private async register(): Promise<void> {
    const {worker, life, isLeaving} = this;
    await this.sleep(MAX_REGISTRATION_DELAY_MILLISECONDS * this.random());
    const {agent} = this;
    if (agent?.suspension.isSuspended) await agent.suspension.awake();
    if (!worker || this.worker !== worker) return;
    if (!agent || this.agent !== agent) return;
    const [id = ''] = life.split('@');
    const description = {...this.fleet.describeWorker(id, life), isLeaving};
    const isKilled = () => this.agent !== agent;
    const {suspension} = agent;
    const client = new KillableWorkerClient(worker, isKilled, suspension);
    await agent.agent.registerWorker(description, () => client);
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }

  private async sleep(milliseconds: number): Promise<void> {
    const {clock} = this.fleet;
    await clock.sleepUntil(clock.now() + milliseconds);
  }
}
