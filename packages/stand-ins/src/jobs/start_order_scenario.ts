import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {StartOrderCell} from './start_order_cell_types.js';

const STEP_MILLISECONDS = 20;
/** Time in which an agent joins and its worker lists its runs. */
const JOIN_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time in which an order is sent, or sent again. */
const ATTEMPT_MILLISECONDS = 3_000;
/** Time in which all leases expire of a worker that does not answer. */
const OUTAGE_MILLISECONDS = 18_000;
/** Time in which a job completes once every call is answered. */
const COMPLETION_MILLISECONDS = 25_000;
/** Time for which the workers are watched after that. */
const AFTERMATH_MILLISECONDS = 4_000;
/** Duration of a run that the scenario does not end. */
const RUN_MILLISECONDS = 1_500;
const JOB = 'j';
const TASK = 'j.0.0.0';

/**
 * A job of one task whose first start order goes to the first of two workers.
 *
 * The second worker joins after that, so that the task may start there instead.
 */
export class StartOrderScenario {
  private readonly fleet = new JobFleetFixture();
  private readonly first = this.createWorker();
  private readonly second = this.createWorker();
  private owner: OwnerFixture | undefined;
  /** Instant at which each run was first seen, by its name. */
  private readonly seenAt = new Map<string, number>();
  private lateAt: number | undefined;
  private areRunsFinishing = false;

  get history(): JobFleetFixture['history'] {
    return this.fleet.history;
  }

  get status(): string {
    return this.owner!.owner.status(JOB);
  }

  /** Whether every attempt of the script was made. */
  get isScriptUsed(): boolean {
    return this.first.starts.next.length === 0;
  }

  /** Plays one cell until the job is complete, and a while longer. */
  async play(cell: StartOrderCell): Promise<void> {
    const {starts, renewals} = this.first;
    await this.open();
    starts.next = [cell.first, ...cell.following];
    renewals.always = cell.renewals;
    await this.submit();
    await this.playAttempts(cell);
    this.setLate(cell);
    renewals.always = 'answered';
    await this.finish();
  }

  /**
   * Plays an order whose later attempts all get no answer, until every lease
   * of the worker has expired.
   */
  async playOutage(cell: StartOrderCell): Promise<void> {
    const {starts, renewals} = this.first;
    await this.open();
    starts.next = [cell.first];
    starts.always = cell.first === 'late' ? 'late' : 'lost';
    renewals.always = cell.renewals;
    await this.submit();
    await this.playAttempts(cell);
    this.setLate(cell);
    this.areRunsFinishing = true;
    await this.pass(OUTAGE_MILLISECONDS, () => false);
    starts.always = 'answered';
    renewals.always = 'answered';
    await this.finish();
  }

  private createWorker(): FakeRunWorker {
    return new FakeRunWorker(this.fleet.clock, this.fleet.history);
  }

  private async open(): Promise<void> {
    const {fleet} = this;
    this.owner = await fleet.startOwner('one');
    fleet.link(fleet.startAgent('a', this.first), this.owner);
    await fleet.pass(JOIN_MILLISECONDS);
  }

  /** Submits the job; the second worker joins once the order was sent. */
  private async submit(): Promise<void> {
    const {fleet, first} = this;
    const {owner} = this.owner!;
    const scripted = first.starts.next.length;
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    const submitted = owner.submit(fleet.job(JOB, {}), deadline);
    const isSent = () => first.starts.next.length < scripted;
    await this.pass(ATTEMPT_MILLISECONDS, isSent);
    await submitted;
    fleet.link(fleet.startAgent('b', this.second), this.owner!);
  }

  /** Lets the agent make its attempts, and ends the run among them. */
  private async playAttempts(cell: StartOrderCell): Promise<void> {
    const {starts} = this.first;
    const {ending, attemptsBeforeEnding, following} = cell;
    const left = 1 + following.length - attemptsBeforeEnding;
    await this.pass(ATTEMPT_MILLISECONDS, () => starts.next.length <= left);
    if (ending) this.first.end(TASK, ending);
    await this.pass(ATTEMPT_MILLISECONDS, () => this.isScriptUsed);
  }

  private setLate({lateMilliseconds}: StartOrderCell): void {
    if (lateMilliseconds === undefined) return;
    this.lateAt = this.fleet.clock.now() + lateMilliseconds;
  }

  private async finish(): Promise<void> {
    this.areRunsFinishing = true;
    const isOver = () =>
      this.status === 'complete' && this.lateAt === undefined;
    await this.pass(COMPLETION_MILLISECONDS, isOver);
    await this.pass(AFTERMATH_MILLISECONDS, () => false);
  }

  /** Lets time pass until the condition holds, but no longer than given. */
  private async pass(
    milliseconds: number,
    isOver: () => boolean,
  ): Promise<void> {
    const {clock} = this.fleet;
    const deadline = clock.now() + milliseconds;
    while (clock.now() < deadline && !isOver()) {
      await clock.advance(STEP_MILLISECONDS);
      if (this.lateAt !== undefined && clock.now() >= this.lateAt) {
        this.lateAt = undefined;
        this.first.applyLate();
      }
      this.finishRuns();
    }
  }

  /** Ends the runs that have worked for their duration as done. */
  private finishRuns(): void {
    const now = this.fleet.clock.now();
    for (const worker of [this.first, this.second]) {
      for (const {task, run} of [...worker.running.values()]) {
        const name = `${task}#${run}`;
        const seenAt = this.seenAt.get(name) ?? now;
        this.seenAt.set(name, seenAt);
        const isFinished = now - seenAt >= RUN_MILLISECONDS;
        if (isFinished && this.areRunsFinishing) worker.end(task, 'done');
      }
    }
  }
}
