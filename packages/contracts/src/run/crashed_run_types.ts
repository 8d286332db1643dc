/** A run that had begun shortly before its worker crashed. */
export interface CrashedRun {
  /** Incarnation of the worker that crashed. */
  readonly life: string;
  readonly task: string;
  readonly run: number;
}
