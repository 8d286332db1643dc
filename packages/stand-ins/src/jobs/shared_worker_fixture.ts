import type {RunAgent} from '@chicoryspring/agent';
import type {JobStep} from '@chicoryspring/contracts';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {MemoryLink} from './memory_link.js';
import type {OwnerFixture} from './owner_fixture.js';

const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};

/**
 * A worker that two owners share, each with one shard. A second worker can
 * join, to which an owner without contact to the first moves its tasks.
 */
export class SharedWorkerFixture {
  readonly fleet = new JobFleetFixture();
  readonly worker = new FakeRunWorker(this.fleet.clock, this.fleet.history);
  readonly other = new FakeRunWorker(this.fleet.clock, this.fleet.history);
  readonly owners: OwnerFixture[] = [];
  private agent = this.fleet.startAgent('a', this.worker);
  private readonly links: MemoryLink[] = [];
  private jobCount = 0;

  /** The first worker, as its agent manages it. */
  get session(): NonNullable<RunAgent['session']> {
    return this.agent.agent.session!;
  }

  /** Starts the owners and links the worker's agent to both. */
  async open(): Promise<void> {
    const {fleet} = this;
    for (const shard of [0, 1]) {
      const name = `owner-${shard}`;
      const owner = await fleet.startOwner(name, {shards: [shard]});
      this.owners.push(owner);
      this.links.push(fleet.link(this.agent, owner));
    }
  }

  /** Lets the second worker join. */
  addOther(): void {
    const agent = this.fleet.startAgent('b', this.other);
    for (const owner of this.owners) this.fleet.link(agent, owner);
  }

  /** Ends the contact of the first worker's agent to an owner. */
  disconnect(owner: number): void {
    this.links[owner]!.close();
  }

  /** Links the first worker's agent to an owner again. */
  connect(owner: number): void {
    this.links[owner] = this.fleet.link(this.agent, this.owners[owner]!);
  }

  /** Starts the first worker's agent again, linked to no owner. */
  restartAgent(): void {
    this.agent.kill();
    for (const link of this.links) link.close();
    this.agent = this.fleet.startAgent('a', this.worker);
  }

  /** Submits a job of one small task to an owner; returns the task's name. */
  async submit(owner: number, step: Partial<JobStep> = {}): Promise<string> {
    const {fleet} = this;
    const {owner: jobs} = this.owners[owner]!;
    const id = this.newJobId(owner);
    const job = fleet.job(id, {resources: SMALL, ...step});
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(jobs.submit(job, deadline));
    return `${id}.0.0.0`;
  }

  /** Id of a new job of an owner. */
  newJobId(owner: number): string {
    let id: string;
    do {
      id = `j${this.jobCount}`;
      this.jobCount += 1;
    } while (this.owners[owner]!.table.shardOf(id) !== owner);
    return id;
  }
}
