/** How many tasks of one caller and class run near a worker. */
export interface SpreadCount {
  readonly onWorker: number;
  readonly inRack: number;
  readonly inFailureDomain: number;
}
