import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunPlacementPolicy} from '../placement/run_placement_policy_types.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationAdmission} from './reservation_admission_types.js';
import type {ReservationRule} from './reservation_rule.js';

/**
 * Keeps runs off workers that are reserved, unless the reservation's task can
 * still start in time. Another policy decides the rest.
 */
export class ReservingRunPlacementPolicy implements RunPlacementPolicy {
  constructor(
    private readonly policy: RunPlacementPolicy,
    private readonly rule: ReservationRule,
  ) {}

  choose(
    request: RunPlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    if (this.rule.isIdle) return this.policy.choose(request, workers);
    const admitting: WorkerView[] = [];
    const bypassed: WorkerView[] = [];
    for (const view of workers) {
      const admission = this.admission(request, view);
      if (admission === 'bypass') bypassed.push(view);
      else if (admission) admitting.push(view);
    }
    const view = this.policy.choose(request, admitting);
    if (view || bypassed.length === 0) return view;
    return this.policy.choose(request, bypassed);
  }

  rejectionOf(request: RunPlacementRequest, view: WorkerView): string {
    if (!this.admission(request, view)) return 'reserved';
    return this.policy.rejectionOf(request, view);
  }

  pace(request: RunPlacementRequest, view: WorkerView): number {
    return this.policy.pace(request, view);
  }

  private admission(
    request: RunPlacementRequest,
    view: WorkerView,
  ): ReservationAdmission | undefined {
    const pace = () => this.policy.pace(request, view);
    return this.rule.admission(request, view, pace);
  }
}
