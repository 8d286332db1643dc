import * as v from 'valibot';
import {configurationObjectSchema} from '@chicoryspring/configuration';

const stringListSchema = v.array(v.string());

/** Schemas of the API responses that commands read. */
export const answerSchemas = {
  configuration: v.object({
    revision: v.number(),
    author: v.string(),
    objects: v.array(configurationObjectSchema),
  }),
  findings: v.object({
    findings: v.array(
      v.object({
        object: v.string(),
        field: v.string(),
        message: v.string(),
        severity: v.picklist(['invalid', 'unsafe']),
      }),
    ),
  }),
  domainChange: v.object({
    revision: v.number(),
    name: v.string(),
    inService: v.boolean(),
    confirmation: v.optional(
      v.object({
        isInForce: v.boolean(),
        confirmedEntries: stringListSchema,
        confirmedWorkers: stringListSchema,
        unconfirmedEntries: stringListSchema,
        unconfirmedWorkers: stringListSchema,
      }),
    ),
    moved: v.optional(stringListSchema, []),
    remaining: v.optional(stringListSchema, []),
  }),
  status: v.looseObject({
    entry: v.string(),
    revision: v.number(),
    isReady: v.boolean(),
    entries: v.array(v.looseObject({name: v.string()})),
    workers: v.array(v.unknown()),
    conditions: v.array(
      v.object({
        type: v.string(),
        isMet: v.boolean(),
        reason: v.string(),
        message: v.string(),
      }),
    ),
  }),
  audit: v.object({
    records: v.array(
      v.object({
        sequence: v.number(),
        at: v.string(),
        actor: v.string(),
        action: v.string(),
        object: v.string(),
        summary: v.string(),
        fromRevision: v.number(),
        outcome: v.string(),
      }),
    ),
  }),
  history: v.object({
    changes: v.array(
      v.object({
        revision: v.number(),
        fromRevision: v.number(),
        author: v.string(),
        at: v.string(),
        summary: v.string(),
      }),
    ),
  }),
  task: v.looseObject({
    id: v.string(),
    state: v.string(),
    worker: v.optional(v.string()),
    answer: v.optional(v.string()),
    reason: v.optional(v.string()),
  }),
  explanation: v.looseObject({
    id: v.string(),
    summary: v.string(),
    owner: v.string(),
    verdicts: v.array(
      v.object({
        verdict: v.string(),
        workers: v.number(),
        examples: stringListSchema,
      }),
    ),
  }),
};
