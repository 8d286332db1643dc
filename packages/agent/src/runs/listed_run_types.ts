/** A run that a worker lists. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  /** Newest checkpoint; empty when there is none. */
  readonly checkpoint: string;
  /** Share of its work that is done; of a lasting task 100 when it works. */
  readonly percent: number;
  /** Tail latency in milliseconds of a task that serves, else processors. */
  readonly measure: number;
}
