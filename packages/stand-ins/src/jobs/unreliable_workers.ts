import type {Job} from '@chicoryspring/contracts';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import {UnreliableInstances} from './unreliable_instances.js';
import type {UnreliableInstancesOptions} from './unreliable_instances_options_types.js';

const STEP_MILLISECONDS = 20;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
const SHARDS = [0, 1];
const SMALL = {processors: 0.5, memoryMebibytes: 1, accelerators: 0};
const MAX_JOBS = 60;
/** Probabilities for each step. */
const END_PROBABILITY = 0.03;
const SUBMIT_PROBABILITY = 0.03;
const SUCCESS_PROBABILITY = 0.9;

/** Two owners, and instances whose workers and agents fail in every way. */
export class UnreliableWorkers {
  readonly fleet = new JobFleetFixture();
  private readonly accepted: (readonly [string, OwnerFixture])[] = [];
  private readonly owners: OwnerFixture[] = [];
  private readonly instances: UnreliableInstances;
  private jobCount = 0;

  constructor(
    private readonly random: () => number,
    options: UnreliableInstancesOptions = {},
  ) {
    this.instances = new UnreliableInstances(this.fleet, random, options);
  }

  async start(): Promise<void> {
    const {fleet, random} = this;
    for (const shard of SHARDS) {
      const name = `owner-${shard}`;
      this.owners.push(await fleet.startOwner(name, {random, shards: [shard]}));
    }
    for (const owner of this.owners) this.instances.linkTo(owner);
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
    this.instances.recover();
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
    this.instances.maybeFail();
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
    for (const worker of this.instances.workers) {
      for (const task of [...worker.running.keys()]) {
        if (this.random() >= END_PROBABILITY) continue;
        const isSuccess = this.random() < SUCCESS_PROBABILITY;
        worker.end(task, isSuccess ? 'done' : 'failed');
      }
    }
  }
}
