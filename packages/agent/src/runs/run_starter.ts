import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {LeaseExtension} from './lease_extension.js';
import type {ManagedRun} from './managed_run.js';
import type {RunStartAnswer} from './run_start_answer_types.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import type {FencingToken} from './fencing_token.js';

const RETRY_INTERVAL_MILLISECONDS = 200;

interface RunStarterOptions {
  /** Extends the worker's lease with each start order that is sent. */
  readonly lease: Pick<LeaseExtension, 'forStart' | 'send'>;
  /** What a run waits for before it is sent, in a few words, if anything. */
  readonly awaitedBy: (run: ManagedRun) => string | undefined;
  readonly onStarted: (run: ManagedRun) => void;
  /** The worker rejected the run, so it has not started and never will. */
  readonly onRejected: (run: ManagedRun, reason: string) => void;
  /** Whether the run still belongs to this incarnation of the worker. */
  readonly isManaged: (run: ManagedRun) => boolean;
  /** Reason for which the worker must not get the run any more, if any. */
  readonly rejectionOf: (run: ManagedRun) => string | undefined;
}

/** Answers after which the start order is sent again. */
const RETRIED_ANSWERS = new Set<RunStartAnswer>(['fenced', 'late']);

/**
 * Starts and stops runs on a worker, with retries until it answers.
 *
 * A request without an answer may still take effect later. Requests are
 * idempotent, so they are repeated until the worker answers.
 */
export class RunStarter {
  constructor(
    private readonly worker: RunWorkerClient,
    private readonly fencingToken: FencingToken,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly options: RunStarterOptions,
  ) {}

  /** Starts one run; resolves once the worker has answered. */
  async start(run: ManagedRun): Promise<void> {
    while (this.isUnanswered(run)) {
      const rejection = this.options.rejectionOf(run);
      if (rejection !== undefined) {
        await this.reject(run, rejection);
        return;
      }
      const answer = await this.tryStart(run);
      if (answer === undefined || RETRIED_ANSWERS.has(answer)) {
        await this.pause();
        continue;
      }
      this.log.change('start order answered', {
        taskId: run.task,
        run: run.run,
        answer,
        unansweredStarts: run.unansweredStartCount,
      });
      await this.applyAnswer(run, answer);
    }
  }

  /** Stops one run; resolves once the worker has confirmed it. */
  async stop(run: ManagedRun): Promise<void> {
    while (this.options.isManaged(run) && run.stopConfirmedAt === undefined) {
      try {
        await this.worker.stop(run.task, run.run, this.fencingToken.value);
        run.stopConfirmedAt = this.clock.now();
      } catch (thrown) {
        this.logFailure('stop unanswered', run, thrown);
        await this.pause();
      }
    }
  }

  private isUnanswered(run: ManagedRun): boolean {
    return run.phase === 'starting' && this.options.isManaged(run);
  }

  private async applyAnswer(
    run: ManagedRun,
    answer: RunStartAnswer,
  ): Promise<void> {
    if (answer === 'started') {
      this.options.onStarted(run);
      return;
    }
    if (run.phase !== 'starting') return;
    await this.reject(run, answer);
  }

  /**
   * Rejects a run; stops it first if an earlier attempt may start it later. One
   * that has run and ended is found in the list that is asked for after that.
   */
  private async reject(run: ManagedRun, reason: string): Promise<void> {
    if (isFinal(reason, run)) {
      this.options.onRejected(run, reason);
      return;
    }
    run.rejectionReason = reason;
    run.phase = 'stopping';
    await this.stop(run);
  }

  /** Answer of the worker; undefined if there was none, or nothing was sent. */
  private async tryStart(run: ManagedRun): Promise<RunStartAnswer | undefined> {
    const {order} = run;
    // A run that was found on the worker has been started already.
    if (!order) return 'started';
    const awaited = this.options.awaitedBy(run);
    if (awaited) return this.waitFor(run, awaited);
    const {lease} = this.options;
    const grant = lease.forStart();
    if (!grant) return this.waitFor(run, 'a lease');
    this.waitFor(run, undefined);
    const token = this.fencingToken.value;
    const {mayHaveBegun} = run;
    run.mayHaveBegun = true;
    try {
      const answer = await lease.send(grant, () =>
        this.worker.start(order, token, grant.milliseconds),
      );
      if (answer === 'fenced' && token === this.fencingToken.value)
        this.fencingToken.raise();
      return answer;
    } catch (thrown) {
      const {kind} = toChicoryspringError(thrown);
      // The connection was refused, so the order was not sent.
      if (kind === 'worker-unreachable') run.mayHaveBegun = mayHaveBegun;
      else run.unansweredStartCount += 1;
      this.logFailure('start unanswered', run, thrown);
      return undefined;
    }
  }

  /** Logs what a run waits for before it is sent, if that has changed. */
  private waitFor(run: ManagedRun, awaited: string | undefined): undefined {
    if (run.awaited === awaited) return;
    run.awaited = awaited;
    const fields = {taskId: run.task, run: run.run, awaited};
    this.log.change(awaited ? 'start order waits' : 'start order sent', fields);
  }

  private logFailure(event: string, run: ManagedRun, thrown: unknown): void {
    const {kind, message} = toChicoryspringError(thrown);
    const {task, run: number} = run;
    this.log.change(event, {taskId: task, run: number, kind, message});
  }

  private async pause(): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + RETRY_INTERVAL_MILLISECONDS);
  }
}

/** Whether a rejection covers every attempt, also those without an answer. */
function isFinal(rejection: string, run: ManagedRun): boolean {
  return rejection === 'other-life' || run.unansweredStartCount === 0;
}
