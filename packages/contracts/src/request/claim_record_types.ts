import type {ServiceAnswer} from './service_answer_types.js';

/**
 * The durable claim on a non-idempotent request.
 *
 * It is written before the request is dispatched. A repeat of the request finds
 * it and is not dispatched again.
 */
export interface ClaimRecord {
  readonly kind: 'claim';
  /** Key of the record in its shard: caller and idempotency key. */
  readonly key: string;
  /** Hash of service and body, to reject another request with the same key. */
  readonly fingerprint: string;
  readonly state: 'claimed' | 'answered' | 'not-run' | 'unknown';
  readonly answer?: ServiceAnswer | undefined;
  /** Wall time in milliseconds after which a finished claim is deleted. */
  readonly retentionDeadline?: number | undefined;
}
