/** Number of tasks of one caller and class in each location of a worker. */
export interface SpreadCount {
  readonly onWorker: number;
  readonly inRack: number;
  readonly inFailureDomain: number;
}
