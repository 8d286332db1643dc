import type {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {RivalInstances} from './rival_instances_types.js';
import type {RivalWorker} from './rival_worker_types.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';
import type {UnreliableInstancesOptions} from './unreliable_instances_options_types.js';
import {UnreliableInstance} from './unreliable_instance.js';

const NAMES = ['a', 'b', 'c'];
/** Probabilities for each step. */
const CALL_FAULT_PROBABILITY = 0.01;
const LINK_FAULT_PROBABILITY = 0.006;
const AGENT_RESTART_PROBABILITY = 0.003;
const CRASH_PROBABILITY = 0.002;
const REMOVAL_PROBABILITY = 0.002;

/** Three instances whose workers, agents and links fail in every way. */
export class UnreliableInstances implements RivalInstances {
  readonly workers: RivalWorker[] = [];
  private readonly instances: readonly UnreliableInstance[];

  constructor(
    fleet: JobFleetFixture,
    private readonly random: () => number,
    private readonly options: UnreliableInstancesOptions = {},
  ) {
    const onWorkerStarted = (worker: RivalWorker) =>
      void this.workers.push(worker);
    this.instances = NAMES.map(
      name => new UnreliableInstance(fleet, name, random, onWorkerStarted),
    );
  }

  linkTo(owner: OwnerFixture): readonly UnreliableAgentLink[] {
    return this.instances.map(instance => instance.linkTo(owner));
  }

  maybeFail(): void {
    const {random} = this;
    const {refusalProbability = 0, suspensionProbability = 0} = this.options;
    if (random() < CALL_FAULT_PROBABILITY) this.pick().changeCalls();
    const instance = this.pick();
    if (random() < LINK_FAULT_PROBABILITY) instance.harmLink();
    if (random() < AGENT_RESTART_PROBABILITY) void instance.restartAgent();
    if (random() < CRASH_PROBABILITY) void instance.crashWorker();
    if (random() < REMOVAL_PROBABILITY) void instance.removeWorker();
    if (refusalProbability > 0 && random() < refusalProbability)
      instance.refuseConnections();
    if (suspensionProbability > 0 && random() < suspensionProbability)
      void instance.suspendAgent();
  }

  recover(): void {
    for (const instance of this.instances) instance.recover();
  }

  private pick(): UnreliableInstance {
    const {instances, random} = this;
    return instances[Math.floor(random() * instances.length)]!;
  }
}
