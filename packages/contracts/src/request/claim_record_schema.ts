import * as v from 'valibot';
import type {ClaimRecord} from './claim_record_types.js';
import {serviceAnswerSchema} from './service_answer_schema.js';

/** Schema of a durable claim. */
export const claimRecordSchema: v.GenericSchema<unknown, ClaimRecord> =
  v.object({
    kind: v.literal('claim'),
    key: v.string(),
    fingerprint: v.string(),
    state: v.picklist(['claimed', 'answered', 'not-run', 'unknown']),
    answer: v.optional(serviceAnswerSchema),
    retentionDeadline: v.optional(v.number()),
  });
