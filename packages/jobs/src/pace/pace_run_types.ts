/** A run beside others, as the interference guard sees it. */
export interface PaceRun {
  readonly key: string;
  readonly image: string;
  readonly isFilling: boolean;
  /** Share of its pace that it was told to work at, 0 to 100. */
  readonly pace: number;
  /** Processors that it asks for. */
  readonly processors: number;
  /** Goal for the tail latency in milliseconds, of a task that serves. */
  readonly goalMilliseconds?: number | undefined;
  /** Tail in milliseconds of a task that serves, else processors in use. */
  readonly measure: number;
}
