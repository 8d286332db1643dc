import type {TaskLoss} from './task_loss_types.js';

/** The ending of one task epoch on its worker. */
export interface TaskEnding {
  readonly taskId: string;
  readonly epoch: number;
  readonly worker: string;
  /**
   * `evicted` when its failure domain is out of service or its agent shuts down;
   * `lapsed` when its lease expired, or, with `loss`, when the worker no longer
   * runs it and reports no ending.
   */
  readonly result: 'finished' | 'failed' | 'evicted' | 'lapsed';
  readonly answer?: string | undefined;
  readonly checkpoint?: string | undefined;
  readonly reason?: string | undefined;
  readonly loss?: TaskLoss | undefined;
}
