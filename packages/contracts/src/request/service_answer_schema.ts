import * as v from 'valibot';
import type {ServiceAnswer} from './service_answer_types.js';

/** Schema of a service answer on a link or in the store. */
export const serviceAnswerSchema: v.GenericSchema<unknown, ServiceAnswer> =
  v.object({
    requestId: v.string(),
    status: v.number(),
    contentType: v.string(),
    body: v.string(),
  });
