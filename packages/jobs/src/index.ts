/**
 * Job state at the owner, placement of runs and their interference.
 *
 * Agents import the files that they need instead: the histograms of learned run
 * times would take 6 MiB of their memory.
 */
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
export {DurationModel} from './duration/duration_model.js';
export {RunActivity} from './duration/run_activity.js';
export {WorkRateTable} from './duration/work_rate_table.js';
export {type StepClass} from './duration/step_class_types.js';
export {CachedWorkerEnds} from './fleet/cached_worker_ends.js';
export {ExpectedRunEnds} from './fleet/expected_run_ends.js';
export {type RunInProgress} from './fleet/run_in_progress_types.js';
export {type RunsInProgress} from './fleet/runs_in_progress_types.js';
export {type Reservation} from './reservation/reservation_types.js';
export {ReservationManager} from './reservation/reservation_manager.js';
export {type ReservationObserver} from './reservation/reservation_observer_types.js';
export {ReservationRule} from './reservation/reservation_rule.js';
export {ReservationTable} from './reservation/reservation_table.js';
export {ReservingRunPlacementPolicy} from './reservation/reserving_run_placement_policy.js';
export {type JobOrder} from './order/job_order_types.js';
export {ContentionJobOrder} from './order/contention_job_order.js';
export {isStarved} from './placement/starved_job.js';
