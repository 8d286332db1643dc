import type {
  JobStatus,
  JobStep,
  RunEndingCause,
} from '@chicoryspring/contracts';
import {CrashingAgent} from './crashing_agent.js';
import type {Deadliness} from './deadliness_types.js';
import type {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const CHECK_INTERVAL_MILLISECONDS = 100;
/** Time in which a worker comes back and a task begins there. */
const BEGIN_TIMEOUT_MILLISECONDS = 20_000;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};

/** A fleet whose workers crash under some tasks and come back later. */
export class CrashingFleetFixture {
  readonly fleet = new JobFleetFixture();
  private readonly agents: readonly CrashingAgent[];
  private owner: OwnerFixture | undefined;
  private ownerCount = 0;

  private constructor(
    agentNames: readonly string[],
    deadlyTasks: readonly string[],
    deadliness: Deadliness,
  ) {
    const deadly = new Set(deadlyTasks);
    this.agents = agentNames.map(
      name => new CrashingAgent(this.fleet, name, deadly, deadliness),
    );
  }

  /** Opens a fleet of an owner and agents, each with a worker. */
  static async open(
    agentNames: readonly string[],
    deadlyTasks: readonly string[] = [],
    deadliness: Deadliness = {},
  ): Promise<CrashingFleetFixture> {
    const fixture = new CrashingFleetFixture(
      agentNames,
      deadlyTasks,
      deadliness,
    );
    await fixture.replaceOwner();
    return fixture;
  }

  /** Kills the owner, if there is one, and lets another take its shards. */
  async replaceOwner(): Promise<void> {
    this.owner?.kill();
    this.ownerCount += 1;
    this.owner = await this.fleet.startOwner(`owner-${this.ownerCount}`);
    for (const {started} of this.agents) this.fleet.link(started, this.owner);
    await this.pass(SUBMIT_TIMEOUT_MILLISECONDS);
  }

  /** Submits a job of one step of small tasks. */
  async submit(id: string, step: Partial<JobStep> = {}): Promise<void> {
    const {fleet} = this;
    const job = fleet.job(id, {resources: SMALL, ...step});
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(this.owner!.owner.submit(job, deadline));
  }

  status(job: string): JobStatus {
    return this.owner!.owner.status(job);
  }

  /** Number of starts of a task on all incarnations of all workers. */
  startCount(task: string): number {
    const began = this.allWorkers.flatMap(worker => worker.began);
    return began.filter(run => run.startsWith(`${task}#`)).length;
  }

  /** Tasks that run now. */
  get runningTasks(): readonly string[] {
    const tasks = this.allWorkers.flatMap(({running}) => [...running.keys()]);
    return tasks.sort();
  }

  /** Ends the runs of a task that are in progress, on any worker. */
  end(task: string, cause: RunEndingCause): void {
    for (const worker of this.allWorkers) worker.end(task, cause);
  }

  /** The newest worker beside an agent. */
  worker(name: string): FakeRunWorker {
    return this.agents.find(one => one.name === name)!.worker;
  }

  /** Lets time pass, in which crashed workers come back. */
  async pass(milliseconds: number): Promise<void> {
    const end = this.fleet.clock.now() + milliseconds;
    while (this.fleet.clock.now() < end) {
      await this.fleet.pass(CHECK_INTERVAL_MILLISECONDS);
      for (const agent of this.agents) agent.restartIfCrashed();
    }
  }

  /** Lets time pass until a task runs; throws if it does not begin in time. */
  async passUntilRunning(task: string): Promise<void> {
    const limit = this.fleet.clock.now() + BEGIN_TIMEOUT_MILLISECONDS;
    while (!this.runningTasks.includes(task)) {
      if (this.fleet.clock.now() > limit) throw new Error(`${task} is idle`);
      await this.pass(CHECK_INTERVAL_MILLISECONDS);
    }
  }

  private get allWorkers(): readonly FakeRunWorker[] {
    return this.agents.flatMap(({workers}) => workers);
  }
}
