/** Answer of a worker to a start order. */
export type RunStartAnswer =
  | 'started'
  /** Another agent process has used a higher fencing token. */
  | 'fenced'
  /** This run of the task or a higher one was stopped or has ended there. */
  | 'old'
  /** The lease of the start order has expired already. */
  | 'late'
  /** There is not enough free capacity. */
  | 'room'
  /** The placement ticket of the start order is not accepted. */
  | 'ticket'
  | 'unhealthy'
  | 'malformed'
  /** The worker has restarted since. */
  | 'other-life';
