/** One log line that concerns the traced id. */
export interface TraceLine {
  /** Unix time in milliseconds, by the clock of the process that logged it. */
  readonly instant: number;
  readonly process: string;
  readonly event: string;
  /** The other fields: the inputs of a decision and its outcome. */
  readonly fields: Readonly<Record<string, unknown>>;
}
