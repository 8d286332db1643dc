import * as v from 'valibot';
import {
  claimRecordSchema,
  jobRecordSchema,
  taskRecordSchema,
} from '@chicoryspring/contracts';
import type {ShardRecord} from './shard_record_types.js';

/** Schema of a record as it is stored. */
export const shardRecordSchema: v.GenericSchema<unknown, ShardRecord> = v.union(
  [jobRecordSchema, taskRecordSchema, claimRecordSchema],
);
