/** An authenticated caller or operator. */
export interface Caller {
  readonly name: string;
  readonly team: string;
  readonly role: 'caller' | 'operator';
  /** Services that the caller may use. */
  readonly services: readonly string[];
  /** Maximum requests in progress at the same time, over all entries. */
  readonly requestsInProgress: number;
}
