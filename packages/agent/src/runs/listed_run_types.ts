/** A run that a worker lists. */
export interface ListedRun {
  readonly task: string;
  readonly run: number;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Percent of its work that is done; 100 if long-running and working. */
  readonly percent: number;
  /** Tail latency in milliseconds if latency critical, else millicores used. */
  readonly measure: number;
}
