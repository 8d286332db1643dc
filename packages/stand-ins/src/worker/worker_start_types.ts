/** One start that the worker stand-in recorded. */
export interface WorkerStart {
  readonly task: string;
  readonly epoch: number;
  readonly atMilliseconds: number;
}
