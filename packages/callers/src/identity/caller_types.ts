/** An authenticated caller or operator. */
export interface Caller {
  readonly name: string;
  readonly team: string;
  readonly role: 'caller' | 'operator';
  readonly services: readonly string[];
  readonly requestsInProgress: number;
}
