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
  /** Identifies the request to the target. */
  readonly idempotencyKey: string;
  /** Time left for the caller; the receiver derives a local deadline. */
  readonly remainingMilliseconds: number;
}

interface DispatchResult {
  readonly answer: ServiceAnswer;
  /** Requests in flight at the target after this one. */
  readonly requestsInFlight: number;
}

/** Entry to agent: dispatches one request to the target beside the agent. */
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
