import * as v from 'valibot';
import {
  serviceAnswerSchema,
  type ServiceAnswer,
} from '@chicoryspring/contracts';
import type {Operation} from './operation_types.js';

interface KeyedRequest {
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

const input: v.GenericSchema<unknown, KeyedRequest> = v.object({
  claimKey: v.string(),
  fingerprint: v.string(),
  id: v.string(),
  caller: v.string(),
  service: v.string(),
  idempotencyKey: v.string(),
  idempotent: v.boolean(),
  contentType: v.string(),
  body: v.string(),
});

const keyed: Operation<KeyedRequest, ServiceAnswer> = {
  name: 'request.keyed',
  input,
  result: serviceAnswerSchema,
  key: request => request.claimKey,
  isIdempotent: false,
};

/** Operations on requests that carry an idempotency key. */
export const requestOperations = {keyed};
