/** The end of a task on a worker, kept until it is acknowledged. */
export interface WorkerEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly result: 'finished' | 'failed' | 'lapsed';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
}
