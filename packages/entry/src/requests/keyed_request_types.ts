/** A request with an idempotency key, as the owner of its claim takes it. */
export interface KeyedRequest {
  /** Caller and idempotency key, hashed: the key of the claim. */
  readonly claimKey: string;
  /** Fingerprint of service, content type and body. */
  readonly fingerprint: string;
  readonly id: string;
  readonly caller: string;
  readonly service: string;
  readonly idempotencyKey: string;
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: string;
}
