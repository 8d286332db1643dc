/** A run of a task, as the owner of the job believes it to be. */
export interface OwnedRun {
  /** Number of the run. */
  readonly run: number;
  readonly agent: string;
  /** Life of the worker that runs it. */
  readonly life: string;
  readonly phase: 'starting' | 'running' | 'stopping';
  /**
   * Version of the agent's reports from which on the run is listed; undefined
   * while the agent has not answered the order.
   */
  readonly sinceVersion?: number | undefined;
  /** Share of its work that is done; of a lasting task 100 when it works. */
  readonly percent: number;
  /** Share of its pace that it was told to work at, 0 to 100. */
  readonly pace: number;
  /** When it was ordered, on the local clock. */
  readonly orderedAt: number;
  /** Whether the order had no answer, and only a report can tell. */
  readonly isStartUncertain?: boolean | undefined;
  /** When it was last told to stop; absent when it was not. */
  readonly stoppedAt?: number | undefined;
}
