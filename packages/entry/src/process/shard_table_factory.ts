import type {Clock} from '@chicoryspring/contracts';
import {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {JobOwner} from '../jobs/job_owner.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import type {TaskOwner} from '../tasks/task_owner.js';

interface RecordOwners {
  readonly settings: EntrySettings;
  /** The owners of the records; they may be created after the table. */
  readonly taskOwner: TaskOwner;
  readonly jobOwner: JobOwner;
}

/** Creates the shard table of an entry, which tells the owners of its records. */
export function createShardTable(
  store: Store,
  clock: Clock,
  entry: RecordOwners,
): ShardTable {
  const {name, shardCount, ownerGroupCount, isOwnerKept} = entry.settings;
  return new ShardTable(store, clock, {
    entryName: name,
    shardCount,
    ownerGroupCount: ownerGroupCount ?? shardCount,
    isOwnerKept: isOwnerKept ?? false,
    onGained: (records, shard) => {
      entry.taskOwner.shardGained(records);
      entry.jobOwner.shardGained(shard, records);
    },
    onLost: (records, shard) => {
      entry.taskOwner.shardLost(records);
      entry.jobOwner.shardLost(shard);
    },
  });
}
