import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {MemoryLink} from './memory_link.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {StartFate} from './start_fate_types.js';

/** Time in which an agent joins and its worker lists its runs. */
const JOIN_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 20;
/** Time in which the first attempt is sent. */
const ATTEMPT_MILLISECONDS = 60;
/** Duration of each run. */
const RUN_MILLISECONDS = 500;

/**
 * A job of one task whose first start order gets no answer and is carried out
 * when the test says. Another worker has room for the task.
 */
export class LateOrderScenario {
  readonly fleet = new JobFleetFixture();
  readonly worker = new FakeRunWorker(this.fleet.clock, this.fleet.history);
  private readonly other = new FakeRunWorker(
    this.fleet.clock,
    this.fleet.history,
  );
  private owner: OwnerFixture | undefined;
  private agent = this.fleet.startAgent('a', this.worker);
  private readonly otherAgent = this.fleet.startAgent('b', this.other);
  private links: readonly MemoryLink[] = [];
  /** Instant at which each run was first seen, by its name. */
  private readonly seenAt = new Map<string, number>();

  /** Sends the order; the later attempts have the fate that is given. */
  async open(repetition: StartFate): Promise<void> {
    const {fleet, worker} = this;
    this.owner = await fleet.startOwner('one');
    this.links = [fleet.link(this.agent, this.owner)];
    await fleet.pass(JOIN_MILLISECONDS);
    worker.starts.next = ['late'];
    worker.starts.always = repetition;
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(this.owner.owner.submit(fleet.job('j', {}), deadline));
    await fleet.pass(ATTEMPT_MILLISECONDS);
    this.linkAll();
  }

  get status(): string {
    return this.owner!.owner.status('j');
  }

  /** Whether the first attempt was sent. */
  get isSent(): boolean {
    return this.worker.starts.next.length === 0;
  }

  /** Another entry takes the shards of the owner, which is gone. */
  async changeOwner(): Promise<void> {
    this.owner!.kill();
    this.owner = await this.fleet.startOwner('two');
    this.linkAll();
  }

  /** Ends the agent process beside the first worker; the next one starts. */
  restartAgent(): void {
    this.agent.kill();
    this.agent = this.fleet.startAgent('a', this.worker);
    this.linkAll();
  }

  /** Stops the runs that the agent of the first worker manages. */
  stopRuns(): void {
    const {session} = this.agent.agent;
    for (const {task, run} of session!.statuses) session!.stop(task, run);
  }

  /** Lets time pass, in which runs end as done after their duration. */
  async pass(milliseconds: number): Promise<void> {
    const {clock} = this.fleet;
    const end = clock.now() + milliseconds;
    while (clock.now() < end) {
      await this.fleet.pass(STEP_MILLISECONDS);
      this.endFinishedRuns();
    }
  }

  /** Links the agents to the owner, over new links. */
  private linkAll(): void {
    for (const link of this.links) link.close();
    this.links = [this.agent, this.otherAgent].map(agent =>
      this.fleet.link(agent, this.owner!),
    );
  }

  private endFinishedRuns(): void {
    const now = this.fleet.clock.now();
    for (const worker of [this.worker, this.other]) {
      for (const {task, run} of [...worker.running.values()]) {
        const name = `${task}#${run}`;
        const seenAt = this.seenAt.get(name) ?? now;
        this.seenAt.set(name, seenAt);
        if (now - seenAt >= RUN_MILLISECONDS) worker.end(task, 'done');
      }
    }
  }
}
