/** The ending of one task epoch on its worker. */
export interface TaskEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly worker: string;
  readonly result: 'finished' | 'failed' | 'evicted' | 'lapsed';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
  readonly reason?: string | undefined;
}
