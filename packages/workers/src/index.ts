/** Workers: their capacity and the placement of tasks on them. */
export type {Worker} from './worker/worker_types.js';
export {CapacityLedgerStore} from './capacity/capacity_ledger_store.js';
export type {PlacementPolicy} from './placement/placement_policy_types.js';
export {BestFitPlacementPolicy} from './placement/best_fit_placement_policy.js';
