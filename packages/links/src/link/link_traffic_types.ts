/** Bytes that a link has transferred, including framing and handshake. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}
