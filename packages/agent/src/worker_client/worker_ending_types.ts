/** The ending of a task on a worker; `evicted` is only set by agents. */
export interface WorkerEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly result: 'finished' | 'failed' | 'lapsed' | 'evicted';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
}
