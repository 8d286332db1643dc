import {
  ResourcesArithmetic,
  TaskName,
  type Resources,
} from '@chicoryspring/contracts';
import type {DurationModel} from '../duration/duration_model.js';
import type {WorkRateTable} from '../duration/work_rate_table.js';
import type {WorkerEnds} from '../fleet/worker_ends_types.js';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationAdmission} from './reservation_admission_types.js';
import type {ReservationTable} from './reservation_table.js';
import type {Reservation} from './reservation_types.js';

const FULL_PACE = 100;

interface ReservationRuleParts {
  readonly table: ReservationTable;
  readonly ends: WorkerEnds;
  readonly model: DurationModel;
  readonly rates: WorkRateTable;
}

/** Decides which runs may start on a reserved worker. */
export class ReservationRule {
  /** Capacity that becomes free in time, for the reservations of this round. */
  private freed = new WeakMap<Reservation, Map<string, Resources>>();

  constructor(private readonly parts: ReservationRuleParts) {}

  /** Begins a round, since reports may have changed what is expected. */
  clear(): void {
    this.freed = new WeakMap();
  }

  /** Whether nothing is reserved at all. */
  get isIdle(): boolean {
    return this.parts.table.size === 0;
  }

  /** Whether capacity of the worker is reserved. */
  isReserved({agent}: WorkerView): boolean {
    return this.parts.table.onAgent(agent) !== undefined;
  }

  /** Why a run may start on the worker; undefined if it must not. */
  admission(
    request: RunPlacementRequest,
    view: WorkerView,
    pace: () => number,
  ): ReservationAdmission | undefined {
    const reservation = this.parts.table.onAgent(view.agent);
    if (!reservation) return 'free';
    if (reservation.step === TaskName.stepPrefix(request.task.name))
      return 'own';
    if (this.fitsBeside(reservation, request, view)) return 'beside';
    // A long-running task serves its users only while it runs.
    if (request.task.step.isLasting) return 'lasting';
    if (reservation.isStrict) return undefined;
    if (this.endsBefore(reservation, request, view, pace)) return 'before';
    const {priority = Infinity} = request;
    return priority < reservation.priority ? 'bypass' : undefined;
  }

  /** Whether the reserved capacity is still expected to be free in time. */
  private fitsBeside(
    reservation: Reservation,
    {task, now}: RunPlacementRequest,
    view: WorkerView,
  ): boolean {
    const part = reservation.parts.find(one => one.agent === view.agent)!;
    const commitment = RunFit.commitmentOf(task.step);
    const needed = ResourcesArithmetic.add(part.resources, commitment);
    const freed = this.freedBy(reservation, view, now);
    const expected = ResourcesArithmetic.add(view.free, freed);
    return ResourcesArithmetic.fits(needed, expected);
  }

  private endsBefore(
    {from}: Reservation,
    {task, queue = '', now}: RunPlacementRequest,
    view: WorkerView,
    pace: () => number,
  ): boolean {
    const {step, position} = task;
    if (now >= from) return false;
    const {stepNumber} = position;
    const {estimateMilliseconds} = step;
    const estimate = this.parts.model.estimate({
      queue,
      stepNumber,
      estimateMilliseconds,
    });
    const {isLearned, expectedMilliseconds, tailMilliseconds} = estimate;
    const active = isLearned ? expectedMilliseconds : tailMilliseconds;
    const rate = this.parts.rates.rateOf(view.agent);
    const share = step.isFilling ? pace() / FULL_PACE : 1;
    return now + active / rate / share <= from;
  }

  /** Capacity of runs that are expected to end before it is needed; none if strict. */
  private freedBy(
    reservation: Reservation,
    view: WorkerView,
    now: number,
  ): Resources {
    const known = this.freed.get(reservation) ?? new Map<string, Resources>();
    this.freed.set(reservation, known);
    const cached = known.get(view.agent);
    if (cached) return cached;
    let freed = ResourcesArithmetic.none;
    const isLate = reservation.isStrict || now >= reservation.from;
    const ends = isLate ? [] : this.parts.ends.endsOn(view, now);
    for (const {instant, isKnown, resources} of ends) {
      if (isKnown && instant <= reservation.from)
        freed = ResourcesArithmetic.add(freed, resources);
    }
    known.set(view.agent, freed);
    return freed;
  }
}
