/** Limits that protect a server from its peers. */
export interface HttpLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /**
   * Connections that may be open at the same time; any others are closed
   * immediately.
   */
  readonly connections: number;
  /** Requests of a connection without an answer; with more it is closed. */
  readonly requestsPerConnection: number;
  /** Time within which a peer must send the header of a request. */
  readonly headerMilliseconds: number;
  /** Time within which a peer must send a whole request. */
  readonly requestMilliseconds: number;
  /** Time for which an idle connection stays open between two requests. */
  readonly idleMilliseconds: number;
  /** Time within which a part of a body that is still arriving must arrive. */
  readonly bodyWindowMilliseconds: number;
  /** Bytes that must arrive in each such time. */
  readonly bodyWindowBytes: number;
}
