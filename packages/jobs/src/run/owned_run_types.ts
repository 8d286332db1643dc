/** A run of a task, as last known to the owner of the job. */
export interface OwnedRun {
  /** Number of the run. */
  readonly run: number;
  readonly agent: string;
  /** Incarnation of the agent that got the start order, or reported the run. */
  readonly agentLife: string;
  /** Incarnation of the worker that executes the run. */
  readonly life: string;
  readonly phase: 'starting' | 'running' | 'stopping';
  /**
   * First version of that incarnation's reports that lists the run; undefined
   * while it has not answered the start order.
   */
  readonly sinceVersion?: number | undefined;
  /** Whether a report has listed it as not begun; absent before. */
  readonly isListedAsStarting?: boolean | undefined;
  /** Progress in percent; of a long-running task 100 while it works. */
  readonly percent: number;
  /** CPU share in percent at which the run may work, 0 to 100. */
  readonly pace: number;
  /** Local instant of the start order, or of the first report without one. */
  readonly orderedAt: number;
  /**
   * Local instant until which an unanswered start order may be carried out.
   * Only a report that is asked for later shows that it was not.
   */
  readonly uncertainUntil?: number | undefined;
  /** Local instant of the last call to stop it; absent before. */
  readonly stopSentAt?: number | undefined;
}
