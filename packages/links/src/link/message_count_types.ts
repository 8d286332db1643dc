/** Messages of one method that links have sent or received. */
export interface MessageCount {
  readonly direction: 'sent' | 'received';
  /** The method of a call or notification; with ` answer` for its answers. */
  readonly method: string;
  readonly messages: number;
  /** Bytes of the messages, without framing. */
  readonly bytes: number;
}
