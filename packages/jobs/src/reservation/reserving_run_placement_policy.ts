import type {WorkerView} from '../fleet/worker_view_types.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementPolicy} from '../placement/run_placement_policy_types.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationAdmission} from './reservation_admission_types.js';
import type {ReservationRule} from './reservation_rule.js';

/**
 * Keeps runs off workers that are reserved, unless the reservation's task can
 * still start in time. Another policy decides the rest; its order of any two
 * workers must not depend on the others.
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
    // The best worker of all is also the best of those that admit the run if it
    // is one of them, which saves the filter in most decisions of a full fleet.
    const best = this.policy.choose(request, workers);
    if (!best || this.isOpen(request, best)) return best;
    const admitting: WorkerView[] = [];
    const bypassed: WorkerView[] = [];
    for (const view of workers) {
      const isOpen =
        !this.rule.isReserved(view) || !RunFit.hasCapacity(request, view);
      const admission = isOpen ? 'free' : this.admission(request, view);
      if (admission && isBypass(admission)) bypassed.push(view);
      else if (admission) admitting.push(view);
    }
    const view = this.policy.choose(request, admitting);
    if (view || bypassed.length === 0) return view;
    return this.policy.choose(request, bypassed);
  }

  rejectionOf(request: RunPlacementRequest, view: WorkerView): string {
    const couldHold =
      RunFit.isEligible(request, view) && RunFit.hasCapacity(request, view);
    if (couldHold && !this.admission(request, view)) return 'reserved';
    return this.policy.rejectionOf(request, view);
  }

  pace(request: RunPlacementRequest, view: WorkerView): number {
    return this.policy.pace(request, view);
  }

  private isOpen(request: RunPlacementRequest, view: WorkerView): boolean {
    if (!this.rule.isReserved(view)) return true;
    const admission = this.admission(request, view);
    return admission !== undefined && !isBypass(admission);
  }

  private admission(
    request: RunPlacementRequest,
    view: WorkerView,
  ): ReservationAdmission | undefined {
    const pace = () => this.policy.pace(request, view);
    return this.rule.admission(request, view, pace);
  }
}

/** Whether the run takes capacity that the reservation needs. */
function isBypass(admission: ReservationAdmission): boolean {
  return admission === 'bypass' || admission === 'lasting';
}
