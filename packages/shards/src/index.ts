/** Durable records in shards, each owned by one entry at a time. */
export {type ShardRecord} from './record/shard_record_types.js';
export {type FleetView} from './ownership/fleet_view_types.js';
export {ShardTable} from './ownership/shard_table.js';
export {ShardKeys} from './shard/shard_keys.js';
export {ShardNumber} from './shard/shard_number.js';
