/** Detects that the peer of a link no longer responds. */
export interface LinkLiveness {
  /** Lower bound of the send time of every message received from now on. */
  readonly earliestSendTime: number;
  /** The background loop that monitors the peer until the link closes. */
  run(closed: AbortSignal): Promise<void>;
}
