import {TaskName} from '@chicoryspring/contracts';
import type {WorkerEnds} from '../fleet/worker_ends_types.js';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {OwnedTask} from '../job/owned_task.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationObserver} from './reservation_observer_types.js';
import {ReservationPlanner} from './reservation_planner.js';
import type {ReservationRule} from './reservation_rule.js';
import {RunGapTable} from './run_gap_table.js';
import type {ReservationTable} from './reservation_table.js';
import type {Reservation} from './reservation_types.js';

/** At most one in so many workers of a service is reserved at once. */
const WORKERS_PER_RESERVED = 8;
/** Time past the expected wait, as a factor and a constant, to the deadline. */
const DEADLINE_FACTOR = 1.5;
const DEADLINE_MARGIN_MILLISECONDS = 5_000;
/** Time between two searches of capacity for a job that got none reserved. */
const JOB_INTERVAL_MILLISECONDS = 2_000;
/** Reason for which a reservation ends that is made again. */
const DEADLINE = 'deadline';
/** Searches in one round, so that its cost is bounded. */
const MAX_SEARCHES = 4;

interface ReservationManagerParts {
  readonly table: ReservationTable;
  readonly rule: ReservationRule;
  readonly ends: WorkerEnds;
  readonly observer: ReservationObserver;
}

interface Placement {
  readonly request: RunPlacementRequest;
  readonly view: WorkerView;
}

/** Makes reservations for tasks that fit on no worker, and ends them. */
export class ReservationManager {
  private readonly planner: ReservationPlanner;
  private readonly gaps: RunGapTable;
  /** Local instant of the last search for a job, by its id. */
  private readonly searchedAt = new Map<string, number>();
  private searches = 0;
  /** Workers of each service in this round. */
  private readonly workerCounts = new Map<string, number>();

  constructor(private readonly parts: ReservationManagerParts) {
    this.planner = new ReservationPlanner(parts.ends);
    this.gaps = new RunGapTable(parts.ends);
  }

  /** Begins a round; ends the reservations of jobs that have no due tasks. */
  beginRound(dueJobs: ReadonlySet<string>): void {
    const {table, rule} = this.parts;
    rule.clear();
    this.searches = 0;
    this.workerCounts.clear();
    for (const one of table.all)
      if (!dueJobs.has(one.job)) this.end(one, 'nothing due');
    for (const job of this.searchedAt.keys())
      if (!dueJobs.has(job)) this.searchedAt.delete(job);
  }

  /** A due task, or gang, found no worker. */
  unplaced(
    group: readonly OwnedTask[],
    views: ReadonlyMap<string, WorkerView>,
    requestOf: (task: OwnedTask) => RunPlacementRequest,
  ): void {
    const [task] = group;
    const job = task && TaskName.parseJobId(task.name);
    if (job === undefined) return;
    const known = this.parts.table.ofJob(job);
    if (!known) return this.reserveNew(job, group, views, requestOf);
    const request = requestOf(task!);
    const {now} = request;
    const isWaiting = known.tasks.some(one => one.isDue(now));
    if (isWaiting && known.tasks[0] !== task) return;
    const reason = isWaiting ? endOf(known, request, views) : 'nothing due';
    if (reason === undefined) return;
    this.end(known, reason);
    if (!isWaiting) return this.reserveNew(job, group, views, requestOf);
    const isRenewal = reason === DEADLINE;
    const previous = {
      ...known,
      isStrict: known.isStrict || isRenewal,
      renewals: known.renewals + Number(isRenewal),
    };
    this.reserve(job, group, request, views, previous);
  }

  /** Tasks of a group were given workers, each as the policy saw it. */
  started(placements: readonly Placement[], paceOf: PaceOf): void {
    const {table, rule, observer} = this.parts;
    if (table.size === 0) return;
    for (const {request, view} of placements) {
      const pace = () => paceOf(request, view);
      const admission = rule.admission(request, view, pace);
      const reservation = table.onAgent(view.agent);
      if (!reservation || !admission || admission === 'own') continue;
      if (admission === 'bypass') table.set({...reservation, isStrict: true});
      observer.backfilled(reservation, request, admission);
    }
    for (const {request, view} of placements) this.endStarted(request, view);
  }

  private endStarted({task}: RunPlacementRequest, {agent}: WorkerView): void {
    const job = TaskName.parseJobId(task.name);
    const own = job === undefined ? job : this.parts.table.ofJob(job);
    if (own?.step !== TaskName.stepPrefix(task.name)) return;
    const isThere = own.parts.some(one => one.agent === agent);
    if (isThere || own.tasks.includes(task)) this.end(own, 'started');
  }

  /** Reserves capacity for a job that has none reserved. */
  private reserveNew(
    job: string,
    group: readonly OwnedTask[],
    views: ReadonlyMap<string, WorkerView>,
    requestOf: (task: OwnedTask) => RunPlacementRequest,
  ): void {
    if (this.searches >= MAX_SEARCHES) return;
    const request = requestOf(group[0]!);
    if (this.maxWorkers(request.service, views) <= 0) return;
    const isGang = group.length > 1;
    if (!isGang && !this.gaps.isExceeded(request, views)) return;
    if (!this.isSearchDue(job, request.now)) return;
    this.reserve(job, group, request, views);
  }

  private isSearchDue(job: string, now: number): boolean {
    const last = this.searchedAt.get(job) ?? -Infinity;
    if (now - last < JOB_INTERVAL_MILLISECONDS) return false;
    this.searchedAt.set(job, now);
    this.searches += 1;
    return true;
  }

  /** Reserves the soonest capacity, unless there is some already. */
  private reserve(
    job: string,
    group: readonly OwnedTask[],
    request: RunPlacementRequest,
    views: ReadonlyMap<string, WorkerView>,
    previous?: Reservation,
  ): void {
    const {table, observer} = this.parts;
    const {service, priority = Infinity, now} = request;
    const limit = this.maxWorkers(service, views);
    if (limit <= 0) return;
    const all = [...views.values()];
    if (ReservationPlanner.hasCapacity(request, group.length, all)) return;
    const plan = this.plan(request, group.length, all, limit, previous);
    if (!plan) return;
    const isGang = group.length > 1;
    if (!previous && !isGang && !plan.isLarge) return;
    const wait = (plan.from - now) * DEADLINE_FACTOR;
    const reservation: Reservation = {
      job,
      step: TaskName.stepPrefix(request.task.name),
      tasks: group,
      priority,
      service,
      parts: plan.parts,
      from: plan.from,
      madeAt: now,
      deadline: now + wait + DEADLINE_MARGIN_MILLISECONDS,
      isStrict: previous?.isStrict ?? false,
      renewals: previous?.renewals ?? 0,
    };
    table.set(reservation);
    observer.made(reservation);
  }

  /** A reservation moves to sooner workers once, so that its wait is bounded. */
  private plan(
    request: RunPlacementRequest,
    members: number,
    views: readonly WorkerView[],
    limit: number,
    previous: Reservation | undefined,
  ) {
    const {table} = this.parts;
    if (previous && previous.renewals > 1) {
      const agents = new Set(previous.parts.map(one => one.agent));
      const same = views.filter(view => agents.has(view.agent));
      const plan = this.planner.plan(request, members, same, limit);
      if (plan) return plan;
    }
    const unreserved = views.filter(view => !table.onAgent(view.agent));
    return this.planner.plan(request, members, unreserved, limit);
  }

  /** Workers of the service that may be reserved yet. */
  private maxWorkers(
    service: string,
    views: ReadonlyMap<string, WorkerView>,
  ): number {
    let workers = this.workerCounts.get(service);
    if (workers === undefined) {
      workers = 0;
      for (const {worker} of views.values())
        if (worker.service === service) workers += 1;
      this.workerCounts.set(service, workers);
    }
    const most = Math.max(1, Math.floor(workers / WORKERS_PER_RESERVED));
    return most - this.parts.table.reservedWorkers(service);
  }

  private end(reservation: Reservation, reason: string): void {
    this.parts.table.delete(reservation.job);
    this.parts.observer.ended(reservation, reason);
  }
}

type PaceOf = (request: RunPlacementRequest, view: WorkerView) => number;

/** Why a reservation ends now; undefined if it goes on. */
function endOf(
  {parts, tasks, deadline}: Reservation,
  request: RunPlacementRequest,
  views: ReadonlyMap<string, WorkerView>,
): string | undefined {
  const reserved: WorkerView[] = [];
  for (const {agent} of parts) {
    const view = views.get(agent);
    if (!view) return 'worker not usable';
    const exclusion = RunFit.exclusionOf(request, view);
    if (exclusion !== undefined) return exclusion;
    reserved.push(view);
  }
  // It waits for something else, for instance for less interference.
  if (ReservationPlanner.hasCapacity(request, tasks.length, reserved))
    return 'not short of capacity';
  return request.now >= deadline ? DEADLINE : undefined;
}
