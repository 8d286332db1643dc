import type {JobRecordChange} from './job_record_change_types.js';
import type {ShardRecord} from './shard_record_types.js';

/** A record in the journal: whole, or what has changed in it. */
export type JournalRecord = ShardRecord | JobRecordChange;
