import * as v from 'valibot';
import type {AuditRecord} from './audit_record_types.js';

/** Schema of an audit record as it is stored. */
export const auditRecordSchema: v.GenericSchema<unknown, AuditRecord> =
  v.object({
    sequence: v.pipe(v.number(), v.safeInteger(), v.minValue(1)),
    at: v.string(),
    actor: v.string(),
    action: v.picklist([
      'configuration',
      'take-out',
      'bring-back',
      'eviction',
      'quarantine',
    ]),
    object: v.string(),
    summary: v.string(),
    fromRevision: v.number(),
    outcome: v.string(),
  });
