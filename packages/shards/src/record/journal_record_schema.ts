import * as v from 'valibot';
import {jobProgressSchema} from '@chicoryspring/contracts';
import type {JobRecordChange} from './job_record_change_types.js';
import type {JournalRecord} from './journal_record_types.js';
import {shardRecordSchema} from './shard_record_schema.js';

const jobRecordChangeSchema: v.GenericSchema<unknown, JobRecordChange> =
  v.object({
    kind: v.literal('job-change'),
    key: v.string(),
    progress: jobProgressSchema,
  });

/** Schema of a record as it is stored in the journal. */
export const journalRecordSchema: v.GenericSchema<unknown, JournalRecord> =
  v.union([shardRecordSchema, jobRecordChangeSchema]);
