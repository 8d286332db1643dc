/** One log line that concerns the traced id. */
export interface TraceLine {
  /** Instant in milliseconds since 1970, by the clock of its process. */
  readonly instant: number;
  readonly process: string;
  readonly event: string;
  /** The other fields: what decided, and the outcome. */
  readonly fields: Readonly<Record<string, unknown>>;
}
