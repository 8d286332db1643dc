import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {ManagedRun} from './managed_run.js';
import type {RunStartAnswer} from './run_start_answer_types.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import type {FencingToken} from './fencing_token.js';

const RETRY_INTERVAL_MILLISECONDS = 200;

interface RunStarterOptions {
  readonly leaseMilliseconds: number;
  readonly onStarted: (run: ManagedRun) => void;
  /** The run never began, and never will. */
  readonly onRefused: (run: ManagedRun, reason: string) => void;
  /** Whether the run is still wanted on this life of the worker. */
  readonly isManaged: (run: ManagedRun) => boolean;
}

/** Answers after which the order is sent again. */
const RETRIED_ANSWERS = new Set<RunStartAnswer>(['fenced', 'late']);

/**
 * Carries orders out at a worker until it is known what became of them.
 *
 * An order without an answer may take effect later, so it is repeated, which
 * has no further effect, until the worker answers it.
 */
export class RunStarter {
  constructor(
    private readonly worker: RunWorkerClient,
    private readonly fencingToken: FencingToken,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly options: RunStarterOptions,
  ) {}

  /** The task of one start. */
  async start(run: ManagedRun): Promise<void> {
    while (this.options.isManaged(run) && run.phase === 'starting') {
      const answer = await this.tryStart(run);
      if (answer === undefined || RETRIED_ANSWERS.has(answer)) {
        await this.pause();
        continue;
      }
      this.log.change('run answered', {
        taskId: run.task,
        run: run.run,
        answer,
      });
      if (answer === 'started') this.options.onStarted(run);
      else if (run.phase === 'starting') this.options.onRefused(run, answer);
    }
  }

  /** The task of one stop: repeated until the worker has taken note of it. */
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

  /** Undefined when the worker did not answer. */
  private async tryStart(run: ManagedRun): Promise<RunStartAnswer | undefined> {
    const {order} = run;
    if (!order) return 'started';
    const {leaseMilliseconds} = this.options;
    const fence = this.fencingToken.value;
    try {
      const answer = await this.worker.start(order, fence, leaseMilliseconds);
      if (answer === 'fenced' && fence === this.fencingToken.value)
        this.fencingToken.raise();
      return answer;
    } catch (thrown) {
      this.logFailure('start unanswered', run, thrown);
      return undefined;
    }
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
