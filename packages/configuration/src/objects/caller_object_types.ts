/** A caller or operator, identified by the hash of its bearer token. */
export interface CallerObject {
  readonly kind: 'Caller';
  readonly name: string;
  readonly spec: {
    readonly team: string;
    readonly role: 'caller' | 'operator';
    /** SHA-256 of the token, in hexadecimal. */
    readonly tokenHash: string;
    /** Services that the caller may use. */
    readonly services: readonly string[];
    /** Maximum number of requests that the caller may have in flight. */
    readonly requestsInProgress: number;
  };
}
