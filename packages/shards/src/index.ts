/** Durable records in shards; one entry at a time owns a shard. */
export {type ShardRecord} from './record/shard_record_types.js';
export {type OwnershipView} from './ownership/ownership_view_types.js';
export {ShardTable} from './ownership/shard_table.js';
export {ShardKeys} from './shard/shard_keys.js';
export {rendezvousOrder} from './shard/rendezvous_order.js';
export {ShardHash} from './shard/shard_hash.js';
