import {
  ChicoryspringError,
  Lifecycle,
  withDeadline,
  toChicoryspringError,
  type ClaimRecord,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import type {ClaimRecords} from './claim_records.js';
import type {ClaimedExecutionEvent} from './claimed_execution_event_types.js';
import {claimedExecutionMachine} from './claimed_execution_machine.js';
import type {ClaimedExecutionState} from './claimed_execution_types.js';
import type {RequestDispatcher} from './request_dispatcher.js';

/** Timeout of a dispatched execution, however soon its callers give up. */
const EXECUTION_TIMEOUT_MILLISECONDS = 60_000;
/** Maximum time that an answer is delayed until its outcome is recorded. */
const RECORDING_TIMEOUT_MILLISECONDS = 1_000;

const lifecycle = new Lifecycle<ClaimedExecutionState, ClaimedExecutionEvent>(
  claimedExecutionMachine,
);

/**
 * The only execution of a non-idempotent request, shared by its repeats.
 *
 * It is claimed durably before it is dispatched. It continues and its outcome
 * is recorded even if the deadline of a caller passes or the caller
 * disconnects.
 */
export class ClaimedExecution {
  private state: ClaimedExecutionState = 'claiming';
  /** Latest deadline of the callers that wait for the answer. */
  private latestDeadline = 0;
  /** Resolves once the outcome is recorded or recording has failed. */
  private recorded: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly claimKey: string,
    readonly fingerprint: string,
    private readonly records: ClaimRecords,
    private readonly dispatcher: Pick<RequestDispatcher, 'dispatch'>,
    private readonly clock: Clock,
  ) {}

  /**
   * Claims and dispatches the request, or replays a recorded outcome.
   *
   * Resolves once the outcome is recorded or the recording has timed out.
   */
  async execute(request: ServiceRequest): Promise<ServiceAnswer> {
    this.latestDeadline = request.deadline;
    const {claimKey, fingerprint, records} = this;
    const deadline = request.deadline;
    const existing = await records.claim(claimKey, fingerprint, deadline);
    if (existing) return this.replay(existing);
    if (this.clock.now() >= this.latestDeadline) return this.abandon();
    return await this.dispatch(request);
  }

  /** Waits for the outcome on behalf of one caller, until its deadline. */
  async join(
    answer: Promise<ServiceAnswer>,
    deadline: number,
  ): Promise<ServiceAnswer> {
    this.latestDeadline = Math.max(this.latestDeadline, deadline);
    return await withDeadline(this.clock, deadline, answer, () =>
      this.deadlineError(),
    );
  }

  /** Resolves once a repeat can read the outcome from the claim. */
  async whenRecorded(): Promise<void> {
    await this.recorded;
  }

  private async dispatch(request: ServiceRequest): Promise<ServiceAnswer> {
    this.state = lifecycle.advance(this.state, 'dispatch');
    const deadline = this.clock.now() + EXECUTION_TIMEOUT_MILLISECONDS;
    try {
      const answer = await this.dispatcher.dispatch({...request, deadline});
      await this.record({state: 'answered', answer});
      return answer;
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      await this.record({state: outcome === 'not-run' ? outcome : 'unknown'});
      throw thrown;
    } finally {
      this.state = lifecycle.advance(this.state, 'end');
    }
  }

  /** Releases the claim for a repeat, since nothing was dispatched. */
  private async abandon(): Promise<never> {
    this.state = lifecycle.advance(this.state, 'give-up');
    await this.record({state: 'not-run'});
    throw new ChicoryspringError(
      'deadline-passed',
      'the claim was made after the deadline',
    );
  }

  /** Records the outcome; waits at most for the recording timeout. */
  private async record(
    outcome: Pick<ClaimRecord, 'state' | 'answer'>,
  ): Promise<void> {
    const recorded = this.records.record(this.claimKey, outcome);
    // A claim without a recorded outcome answers its repeats with `unknown`.
    this.recorded = recorded.catch(() => undefined);
    const recordingDeadline = this.clock.now() + RECORDING_TIMEOUT_MILLISECONDS;
    const stopWaiting = new AbortController();
    await Promise.race([
      this.recorded,
      this.clock.sleepUntil(recordingDeadline, stopWaiting.signal),
    ]);
    stopWaiting.abort();
  }

  /** Returns the recorded answer; without one the request may have run. */
  private replay(claim: ClaimRecord): ServiceAnswer {
    this.state = lifecycle.advance(this.state, 'give-up');
    if (claim.answer) return claim.answer;
    const message = 'the request was dispatched and its outcome is not known';
    throw new ChicoryspringError('outcome-unknown', message);
  }

  /**
   * Error for a caller whose deadline passes before there is an outcome.
   *
   * While the claim is being written, only the last caller can be sure that
   * nothing was sent: after its deadline only a repeat causes a dispatch.
   */
  private deadlineError(): ChicoryspringError {
    const isLast = this.clock.now() >= this.latestDeadline;
    if (this.state === 'claiming' && isLast) {
      return new ChicoryspringError('deadline-passed', 'nothing was sent');
    }
    return new ChicoryspringError('outcome-unknown', 'no answer in time');
  }
}
