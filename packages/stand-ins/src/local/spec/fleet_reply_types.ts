/** What a caller saw of one request. */
export interface FleetReply {
  readonly status: number;
  /** Outcome header; `cut-off` when the connection failed after the sending. */
  readonly outcome: string;
  readonly text: string;
}
