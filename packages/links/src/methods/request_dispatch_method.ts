import * as v from 'valibot';
import {
  serviceAnswerSchema,
  type ServiceAnswer,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface DispatchedRequest {
  readonly requestId: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: string;
  /** Names the request towards the target. */
  readonly idempotencyKey: string;
  /** Time that the caller still waits; each process stores a deadline. */
  readonly remainingMilliseconds: number;
}

interface DispatchResult {
  readonly answer: ServiceAnswer;
  /** Requests in progress at the target after this one. */
  readonly requestsInFlight: number;
}

/** Entry to agent: serves one request by the target beside the agent. */
export const requestDispatchMethod: LinkMethod<
  DispatchedRequest,
  DispatchResult
> = {
  name: 'request.dispatch',
  input: v.object({
    requestId: v.string(),
    service: v.string(),
    idempotent: v.boolean(),
    contentType: v.string(),
    body: v.string(),
    idempotencyKey: v.string(),
    remainingMilliseconds: v.number(),
  }),
  result: v.object({
    answer: serviceAnswerSchema,
    requestsInFlight: v.number(),
  }),
};
