import type {Job} from '@chicoryspring/contracts';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import {UnreliableInstance} from './unreliable_instance.js';

const STEP_MILLISECONDS = 20;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
const INSTANCES = ['a', 'b', 'c'];
const SHARDS = [0, 1];
const SMALL = {processors: 0.5, memoryMebibytes: 1, accelerators: 0};
const MAX_JOBS = 60;
/** Shares of the calls to a worker while it is unreliable. */
const MAX_UNANSWERED_SHARE = 0.6;
const MAX_REJECTED_SHARE = 0.2;
/** Probabilities for each step. */
const END_PROBABILITY = 0.03;
const SUBMIT_PROBABILITY = 0.03;
const CALL_FAULT_PROBABILITY = 0.01;
const LINK_FAULT_PROBABILITY = 0.006;
const AGENT_RESTART_PROBABILITY = 0.003;
const CRASH_PROBABILITY = 0.002;
const REMOVAL_PROBABILITY = 0.002;
const SUCCESS_PROBABILITY = 0.9;

/** Two owners, and instances whose workers and agents fail in every way. */
export class UnreliableWorkers {
  readonly fleet = new JobFleetFixture();
  private readonly accepted: (readonly [string, OwnerFixture])[] = [];
  private readonly owners: OwnerFixture[] = [];
  private readonly instances: UnreliableInstance[] = [];
  private jobCount = 0;

  constructor(private readonly random: () => number) {}

  async start(): Promise<void> {
    const {fleet, random} = this;
    for (const shard of SHARDS) {
      const name = `owner-${shard}`;
      this.owners.push(await fleet.startOwner(name, {random, shards: [shard]}));
    }
    for (const name of INSTANCES) {
      const instance = new UnreliableInstance(fleet, name, this.owners, random);
      instance.start();
      this.instances.push(instance);
    }
  }

  /** Lets time pass; with trouble, jobs come and instances fail. */
  async pass(milliseconds: number, hasTrouble: boolean): Promise<void> {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      if (hasTrouble) this.maybeTrouble();
      this.endSomeRuns();
      await this.fleet.clock.advance(STEP_MILLISECONDS);
    }
  }

  /** Ends all faults of calls and links. */
  recover(): void {
    for (const instance of this.instances) instance.recover();
  }

  get acceptedCount(): number {
    return this.accepted.length;
  }

  /** Ids of the accepted jobs that are not complete or failed. */
  get unfinished(): readonly string[] {
    const isEnded = (id: string, owner: OwnerFixture) =>
      ['complete', 'failed'].includes(owner.owner.status(id));
    return this.accepted
      .filter(([id, owner]) => !isEnded(id, owner))
      .map(([id]) => id);
  }

  private maybeTrouble(): void {
    const {random} = this;
    if (random() < SUBMIT_PROBABILITY && this.jobCount < MAX_JOBS)
      void this.submitJob();
    if (random() < CALL_FAULT_PROBABILITY) this.changeCalls();
    const instance = this.pick(this.instances);
    if (random() < LINK_FAULT_PROBABILITY) instance.harmLink();
    if (random() < AGENT_RESTART_PROBABILITY) void instance.restartAgent();
    if (random() < CRASH_PROBABILITY) void instance.crashWorker();
    if (random() < REMOVAL_PROBABILITY) void instance.removeWorker();
  }

  /** Makes the calls to one worker reliable or not. */
  private changeCalls(): void {
    const {random} = this;
    const instance = this.pick(this.instances);
    const some = MAX_UNANSWERED_SHARE * random();
    const unansweredShare = this.pick([0, some, some, some, 1]);
    const isReliable = unansweredShare === 0;
    const rejectedShare = isReliable ? 0 : MAX_REJECTED_SHARE * random();
    instance.setOptions({unansweredShare, rejectedShare});
  }

  private async submitJob(): Promise<void> {
    const {fleet, random} = this;
    const id = `j${this.jobCount}`;
    this.jobCount += 1;
    const count = 1 + Math.floor(2 * random());
    const steps = [
      {count, resources: SMALL},
      {after: [0], resources: SMALL},
    ];
    const job: Job = fleet.job(id, ...steps);
    const owner = this.owners[this.owners[0]!.table.shardOf(id)]!;
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await owner.owner.submit(job, deadline);
    this.accepted.push([id, owner]);
  }

  private endSomeRuns(): void {
    for (const {current} of this.instances) {
      for (const task of current?.tasks ?? []) {
        if (this.random() >= END_PROBABILITY) continue;
        const isSuccess = this.random() < SUCCESS_PROBABILITY;
        current!.end(task, isSuccess ? 'done' : 'failed');
      }
    }
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }
}
