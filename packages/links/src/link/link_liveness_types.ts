/** Notices that the peer of a link is gone. */
export interface LinkLiveness {
  /** Every message that is read from now on was sent after this instant. */
  readonly earliestSendTime: number;
  /** The task that watches the peer until the link closes. */
  run(closed: AbortSignal): Promise<void>;
}
