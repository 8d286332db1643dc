/** Job state at the owner, placement of runs and their interference. */
export {OwnedJob} from './job/owned_job.js';
export {OwnedTask} from './job/owned_task.js';
export {type OwnedRun} from './run/owned_run_types.js';
export {WorkerViewBuilder} from './fleet/worker_view_builder.js';
export {type WorkerView} from './fleet/worker_view_types.js';
export {PackingRunPlacementPolicy} from './placement/packing_run_placement_policy.js';
export {IsolatingRunPlacementPolicy} from './placement/isolating_run_placement_policy.js';
export {InterferenceModel} from './interference/interference_model.js';
export {type InterferenceRow} from './interference/interference_row_types.js';
export {type PlacedRun} from './fleet/placed_run_types.js';
export {RunFit} from './placement/run_fit.js';
export {type RunPlacementPolicy} from './placement/run_placement_policy_types.js';
export {type RunPlacementRequest} from './placement/run_placement_request_types.js';
export {ShardReconciliation} from './reconciliation/shard_reconciliation.js';
export {type PacePolicy} from './pace/pace_policy_types.js';
export {type ColocatedRun} from './pace/colocated_run_types.js';
export {InterferencePacePolicy} from './pace/interference_pace_policy.js';
export {type TimeTotals} from './time_account/time_totals_types.js';
