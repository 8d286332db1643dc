/** A request with an idempotency key, as sent to the owner of its claim. */
export interface KeyedRequest {
  /** Key of the claim: a hash of caller and idempotency key. */
  readonly claimKey: string;
  /** Hash of service, content type and body, to detect reuse of the key. */
  readonly fingerprint: string;
  readonly id: string;
  readonly caller: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: string;
}
