import type {TaskLoss} from '@chicoryspring/contracts';

/** The ending of a task on a worker; only agents set `evicted` and `loss`. */
export interface WorkerEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly result: 'finished' | 'failed' | 'lapsed' | 'evicted';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
  readonly loss?: TaskLoss | undefined;
}
