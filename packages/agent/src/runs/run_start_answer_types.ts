/** What a worker says to an order to start a run. */
export type RunStartAnswer =
  | 'started'
  /** Another agent has used a higher fence. */
  | 'fenced'
  /** A run of the task that is as high was stopped or has ended there. */
  | 'old'
  /** The lease of the order has passed already. */
  | 'late'
  | 'room'
  | 'ticket'
  | 'unhealthy'
  | 'malformed'
  /** The worker has started anew since. */
  | 'other-life';
