import {TaskName, type Resources} from '@chicoryspring/contracts';
import type {ExpectedEnd} from '../fleet/expected_end_types.js';
import type {WorkerEnds} from '../fleet/worker_ends_types.js';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationPlan} from './reservation_plan_types.js';

interface Candidate {
  readonly view: WorkerView;
  /** Members of the gang that are planned there. */
  readonly members: number;
  /** Instant from which one more is expected to fit. */
  readonly instant: number;
  /** Whether the end of a single run makes no room for it. */
  readonly isFragmented: boolean;
}

/**
 * Workers whose expected ends are looked at, those with the least capacity
 * missing; all 840 would take a large part of a round.
 */
const MAX_CANDIDATES = 128;
/** Runs behind an end that is not known one by one. */
const UNKNOWN_RUNS = 2;

/** Finds the workers on which a task or a gang is expected to fit soonest. */
export class ReservationPlanner {
  constructor(private readonly ends: WorkerEnds) {}

  /** Whether the free capacity of eligible workers holds all the members now. */
  static hasCapacity(
    request: RunPlacementRequest,
    members: number,
    views: Iterable<WorkerView>,
  ): boolean {
    const commitment = RunFit.commitmentOf(request.task.step);
    let missing = members;
    for (const view of views) {
      if (!RunFit.isEligible(request, view)) continue;
      const most = mostMembers(request, view);
      missing -= Math.min(most, countOf(commitment, view.free));
      if (missing <= 0) return true;
    }
    return false;
  }

  /**
   * The soonest workers for the members, at most as many as is given. Undefined
   * if no worker could hold a member; fewer members if the workers don't suffice.
   */
  plan(
    request: RunPlacementRequest,
    members: number,
    views: readonly WorkerView[],
    maxWorkers: number,
  ): ReservationPlan | undefined {
    const candidates = [...this.candidates(request, views)];
    const isLarge = isMostlyFragmented(candidates);
    const chosen = new Map<number, Candidate>();
    let from = request.now;
    for (let count = 0; count < members; count += 1) {
      const isFull = chosen.size === maxWorkers;
      const index = soonest(candidates, isFull ? chosen : undefined);
      if (index === undefined) break;
      const {view, members: planned, instant} = candidates[index]!;
      from = Math.max(from, instant);
      candidates[index] = this.candidate(request, view, planned + 1);
      chosen.set(index, candidates[index]);
    }
    if (chosen.size === 0) return undefined;
    const commitment = RunFit.commitmentOf(request.task.step);
    const parts = [...chosen.values()].map(one => ({
      agent: one.view.agent,
      resources: multiply(commitment, one.members),
    }));
    return {parts, from, isLarge};
  }

  private candidates(
    request: RunPlacementRequest,
    views: readonly WorkerView[],
  ): readonly Candidate[] {
    const commitment = RunFit.commitmentOf(request.task.step);
    return views
      .filter(view => RunFit.isEligible(request, view))
      .filter(({worker}) => countOf(commitment, worker.capacity) > 0)
      .map(view => ({view, missing: missingShare(commitment, view)}))
      .sort((left, right) => left.missing - right.missing)
      .slice(0, MAX_CANDIDATES)
      .map(({view}) => this.candidate(request, view, 0));
  }

  private candidate(
    request: RunPlacementRequest,
    view: WorkerView,
    members: number,
  ): Candidate {
    const commitment = RunFit.commitmentOf(request.task.step);
    const isPossible =
      members < mostMembers(request, view) &&
      countOf(commitment, view.worker.capacity) > members;
    if (!isPossible)
      return {view, members, instant: Infinity, isFragmented: false};
    const ends = this.ends.endsOn(view, request.now);
    const needed = multiply(commitment, members + 1);
    return {view, members, ...fitOf(needed, view, ends, request.now)};
  }
}

/** Whether a single run's end makes room on less than half of the workers. */
function isMostlyFragmented(candidates: readonly Candidate[]): boolean {
  const fragmented = candidates.filter(one => one.isFragmented).length;
  return fragmented * 2 > candidates.length;
}

/** Part of its capacity that the worker lacks for the commitment. */
function missingShare(
  commitment: Resources,
  {worker: {capacity}, free}: WorkerView,
): number {
  const {processors, memoryMebibytes, accelerators} = commitment;
  return Math.max(
    (processors - free.processors) / (capacity.processors || 1),
    (memoryMebibytes - free.memoryMebibytes) / (capacity.memoryMebibytes || 1),
    (accelerators - free.accelerators) / (capacity.accelerators || 1),
  );
}

/** Index of the candidate that fits one more member soonest. */
function soonest(
  candidates: readonly Candidate[],
  allowed: ReadonlyMap<number, Candidate> | undefined,
): number | undefined {
  let best: number | undefined;
  let bestInstant = Infinity;
  candidates.forEach(({instant}, index) => {
    if (instant >= bestInstant || (allowed && !allowed.has(index))) return;
    best = index;
    bestInstant = instant;
  });
  return best;
}

/** When the capacity is free; infinite if that is not expected. */
function fitOf(
  needed: Resources,
  {free}: WorkerView,
  ends: readonly ExpectedEnd[],
  now: number,
): Omit<Candidate, 'view' | 'members'> {
  let processors = needed.processors - free.processors;
  let memory = needed.memoryMebibytes - free.memoryMebibytes;
  let accelerators = needed.accelerators - free.accelerators;
  if (processors <= 0 && memory <= 0 && accelerators <= 0)
    return {instant: now, isFragmented: false};
  let runs = 0;
  for (const {instant, resources, isKnown} of ends) {
    processors -= resources.processors;
    memory -= resources.memoryMebibytes;
    accelerators -= resources.accelerators;
    runs += isKnown ? 1 : UNKNOWN_RUNS;
    if (processors <= 0 && memory <= 0 && accelerators <= 0)
      return {instant, isFragmented: runs > 1};
  }
  return {instant: Infinity, isFragmented: true};
}

/** Number of times that the capacity holds the commitment. */
function countOf(commitment: Resources, capacity: Resources): number {
  return Math.min(
    timesIn(commitment.processors, capacity.processors),
    timesIn(commitment.memoryMebibytes, capacity.memoryMebibytes),
    timesIn(commitment.accelerators, capacity.accelerators),
  );
}

function timesIn(needed: number, free: number): number {
  if (needed === 0) return free < 0 ? 0 : Infinity;
  return Math.max(0, Math.floor(free / needed));
}

/** Members that the maximum of runs of the step lets join those there. */
function mostMembers({task}: RunPlacementRequest, view: WorkerView): number {
  const {mostPerWorker} = task.step;
  if (!mostPerWorker) return Infinity;
  const step = TaskName.stepPrefix(task.name);
  return mostPerWorker - (view.runsByStep.get(step) ?? 0);
}

function multiply(resources: Resources, factor: number): Resources {
  return {
    processors: resources.processors * factor,
    memoryMebibytes: resources.memoryMebibytes * factor,
    accelerators: resources.accelerators * factor,
  };
}
