/**
 * Number of tasks of one caller and class on a worker, in its rack and in its
 * failure domain.
 */
export interface SpreadCount {
  readonly onWorker: number;
  readonly inRack: number;
  readonly inFailureDomain: number;
}
