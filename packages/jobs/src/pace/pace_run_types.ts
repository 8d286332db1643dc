/** A run beside others, as the interference guard sees it. */
export interface PaceRun {
  readonly key: string;
  readonly isFilling: boolean;
  /** Share of its pace at which it works, 0 to 100. */
  readonly percent: number;
  /** Goal for the tail latency in milliseconds, of a task that serves. */
  readonly goalMilliseconds?: number | undefined;
  /** Tail latency in milliseconds of a task that serves. */
  readonly tailMilliseconds: number;
}
