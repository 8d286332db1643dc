/** A caller or operator whose token was recognized. */
export interface Caller {
  readonly name: string;
  readonly team: string;
  readonly role: 'caller' | 'operator';
  readonly services: readonly string[];
  readonly requestsInProgress: number;
}
