import * as v from 'valibot';
import {
  serviceAnswerSchema,
  type ServiceAnswer,
} from '@chicoryspring/contracts';
import type {KeyedRequest} from '../requests/keyed_request_types.js';
import type {Operation} from './operation_types.js';

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
  // The claim of the key prevents a second execution.
  isIdempotent: true,
};

/** Operations on requests that carry an idempotency key. */
export const requestOperations = {keyed};
