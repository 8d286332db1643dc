/** A run that a worker rejected and never started. */
export interface RunRefusal {
  readonly task: string;
  readonly run: number;
  readonly reason: string;
}
