/** What a peer may take of a server. */
export interface HttpLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Connections that are open at once; others are closed at once. */
  readonly connections: number;
  /** Time that a peer has to send the header of a request. */
  readonly headerMilliseconds: number;
  /** Time that a peer has to send a whole request. */
  readonly requestMilliseconds: number;
  /** Time that a connection stays open between two requests. */
  readonly idleMilliseconds: number;
}
