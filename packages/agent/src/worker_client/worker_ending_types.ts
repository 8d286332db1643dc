/** The end of a task on a worker; only agents say `evicted`. */
export interface WorkerEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly result: 'finished' | 'failed' | 'lapsed' | 'evicted';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
}
