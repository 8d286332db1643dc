/** Workers: their capacity and the placement of tasks on them. */
export type {Worker} from './worker/worker_types.js';
export type {ClassCount} from './worker/class_count_types.js';
export {WorkerBehaviour} from './worker/worker_behaviour.js';
export {CapacityLedgerStore} from './capacity/capacity_ledger_store.js';
export type {WorkerIndex} from './worker_index/worker_index_types.js';
export type {WorkerCandidates} from './worker_index/worker_candidates_types.js';
export {WorkerIndexStore} from './worker_index/worker_index_store.js';
export type {PlacementPolicy} from './placement/placement_policy_types.js';
export type {PlacementRequest} from './placement/placement_request_types.js';
export {BestFitPlacementPolicy} from './placement/best_fit_placement_policy.js';
export {LeastLoadedPlacementPolicy} from './placement/least_loaded_placement_policy.js';
export {RandomPlacementPolicy} from './placement/random_placement_policy.js';
export {RoundRobinPlacementPolicy} from './placement/round_robin_placement_policy.js';
