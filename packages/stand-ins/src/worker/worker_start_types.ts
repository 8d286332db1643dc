/** One start that the worker stand-in recorded. */
export interface WorkerStart {
  readonly task: string;
  readonly epoch: number;
  readonly processors: number;
  readonly atMilliseconds: number;
  /** When the task ended or was stopped; absent while it runs. */
  readonly endedAtMilliseconds?: number;
}
