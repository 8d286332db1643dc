/** Bytes that a link has carried, its framing and handshake included. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}
