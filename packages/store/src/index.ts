/** The platform's key-value store: its interface and an etcd client. */
export {type Store} from './store/store_types.js';
export {type StoreValue} from './store/store_value_types.js';
export {type StoreRange} from './store/store_range_types.js';
export {type StoreCondition} from './store/store_condition_types.js';
export {type StoreOperation} from './store/store_operation_types.js';
export {type StoreTransaction} from './store/store_transaction_types.js';
export {type StoreLease} from './store/store_lease_types.js';
export {type StoreChange} from './store/store_change_types.js';
export {EtcdGatewayStore} from './etcd_gateway/etcd_gateway_store.js';
export {Backoff} from './backoff/backoff.js';
