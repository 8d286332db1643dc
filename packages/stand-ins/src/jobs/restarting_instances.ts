import type {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import {RestartingAgent} from './restarting_agent.js';
import type {RivalInstances} from './rival_instances_types.js';
import type {RivalWorker} from './rival_worker_types.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';

const NAMES = ['a', 'b', 'c'];
const MAX_DOWNTIME_MILLISECONDS = 3_000;
/** Share of the restarts that are of agents and not of workers. */
const AGENT_SHARE = 0.6;

/** Three agents whose workers answer every call; all may start again. */
export class RestartingInstances implements RivalInstances {
  readonly workers: RivalWorker[] = [];
  private readonly agents: readonly RestartingAgent[];

  constructor(
    private readonly fleet: JobFleetFixture,
    private readonly random: () => number,
    /** Probability, for each step, that an agent or a worker starts again. */
    private readonly restartProbability: number,
  ) {
    const onWorkerStarted = (worker: RivalWorker) =>
      void this.workers.push(worker);
    this.agents = NAMES.map(
      name => new RestartingAgent(fleet, name, onWorkerStarted),
    );
  }

  linkTo(owner: OwnerFixture): readonly UnreliableAgentLink[] {
    return this.agents.map(agent => agent.linkTo(owner));
  }

  maybeFail(): void {
    const {random, restartProbability} = this;
    if (restartProbability > 0 && random() < restartProbability)
      this.restartProcess();
  }

  recover(): void {}

  private restartProcess(): void {
    const {random, fleet, agents} = this;
    const agent = agents[Math.floor(random() * agents.length)]!;
    const downtime = MAX_DOWNTIME_MILLISECONDS * random();
    if (random() < AGENT_SHARE) agent.restartAgent();
    else void agent.restartWorker(fleet.clock.now() + downtime);
  }
}
