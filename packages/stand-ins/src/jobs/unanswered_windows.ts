import type {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {RivalInstances} from './rival_instances_types.js';
import type {RivalWorker} from './rival_worker_types.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';
import {UnreliableInstance} from './unreliable_instance.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];
/** Steps from the start of one window to that of the next. */
const PERIOD_STEPS = 500;
/** Steps of a period at which its window begins and ends. */
const FIRST_STEP = 50;
const LAST_STEP = 350;
const UNANSWERED_SHARE = 0.5;
const REJECTED_SHARE = 0.05;
const RELIABLE = {unansweredShare: 0, rejectedShare: 0};

/**
 * Six instances that do not end. In windows of 6 s every 10 s, all workers leave
 * half of their calls unanswered; in some they reject start orders as well.
 */
export class UnansweredWindows implements RivalInstances {
  readonly workers: RivalWorker[] = [];
  private readonly instances: readonly UnreliableInstance[];
  private steps = 0;

  constructor(
    fleet: JobFleetFixture,
    private readonly random: () => number,
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
    const step = this.steps % PERIOD_STEPS;
    this.steps += 1;
    if (step === FIRST_STEP) this.openWindow();
    if (step === LAST_STEP)
      for (const instance of this.instances) instance.setOptions(RELIABLE);
  }

  recover(): void {
    for (const instance of this.instances) instance.recover();
  }

  private openWindow(): void {
    const rejectedShare = this.random() < 1 / 2 ? REJECTED_SHARE : 0;
    const unansweredShare = UNANSWERED_SHARE;
    for (const instance of this.instances)
      instance.setOptions({unansweredShare, rejectedShare});
  }
}
