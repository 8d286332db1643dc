/** Jobs: what their owner knows of them, and where their tasks run. */
export {OwnedJob} from './job/owned_job.js';
export {OwnedTask} from './job/owned_task.js';
export {type OwnedRun} from './run/owned_run_types.js';
export {FleetWorkerView} from './fleet/fleet_worker_view.js';
export {type WorkerView} from './fleet/worker_view_types.js';
export {PackingRunPlacementPolicy} from './placement/packing_run_placement_policy.js';
export {RunInterferenceFilter} from './interference/run_interference_filter.js';
export {type HarmRow} from './interference/harm_row_types.js';
export {type KnownRun} from './fleet/known_run_types.js';
export {RunFit} from './placement/run_fit.js';
export {type RunPlacementPolicy} from './placement/run_placement_policy_types.js';
export {type RunRequest} from './placement/run_request_types.js';
export {ShardSettlement} from './settlement/shard_settlement.js';
export {type PacePolicy} from './pace/pace_policy_types.js';
export {type PaceRun} from './pace/pace_run_types.js';
export {HarmPacePolicy} from './pace/harm_pace_policy.js';
