import {isDeepStrictEqual} from 'node:util';
import {MAX_REPORTED_REFUSALS} from './max_reported_refusals.js';
import type {RunKey} from './run_key_types.js';
import type {RunRefusal} from './run_refusal_types.js';
import type {RunStatus} from './run_status_types.js';
import type {WorkerReportChange} from './worker_report_change_types.js';
import type {WorkerReport} from './worker_report_types.js';

type ChangedParts = Omit<
  WorkerReportChange,
  'agent' | 'agentLife' | 'baseVersion' | 'version'
>;

/** Computes and applies the differences between reports of one agent process. */
export class WorkerReportDifference {
  /**
   * Whether a change can describe the difference. Endings and refusals of another
   * incarnation of the worker would be mistaken for known ones.
   */
  static isDescribable(previous: WorkerReport, next: WorkerReport): boolean {
    return previous.worker?.life === next.worker?.life;
  }

  /**
   * Whether an owner has to act on the change. The others are progress: a run
   * that has begun, as ordered, or an ending that the owner itself has settled.
   */
  static isUrgent(change: WorkerReportChange): boolean {
    const {worker, isComplete, removedRuns, endings, refusals} = change;
    const {crashedRuns, crashedLives} = change;
    const urgent = [worker, isComplete, removedRuns, endings, refusals];
    return [...urgent, crashedRuns, crashedLives].some(
      part => part !== undefined,
    );
  }

  /** What has changed; undefined if only the version has. */
  static between(
    previous: WorkerReport,
    next: WorkerReport,
  ): WorkerReportChange | undefined {
    const parts: ChangedParts = {
      ...stateChanges(previous, next),
      ...runChanges(previous, next),
      ...listChanges(previous, next),
    };
    if (Object.keys(parts).length === 0) return undefined;
    const {agent, agentLife, version} = next;
    return {agent, agentLife, baseVersion: previous.version, version, ...parts};
  }

  /** The report that results; the change must be based on the previous one. */
  static apply(
    previous: WorkerReport,
    change: WorkerReportChange,
  ): WorkerReport {
    const {version, worker, isComplete, free} = change;
    return {
      ...previous,
      version,
      worker: worker === undefined ? previous.worker : (worker ?? undefined),
      isComplete: isComplete ?? previous.isComplete,
      free: free ?? previous.free,
      runs: applyRuns(previous, change),
      endings: applyEndings(previous, change),
      refusals: applyRefusals(previous, change),
      crashedRuns: change.crashedRuns ?? previous.crashedRuns,
      crashedLives: change.crashedLives ?? previous.crashedLives,
    };
  }
}

function stateChanges(
  previous: WorkerReport,
  {worker, isComplete, free}: WorkerReport,
): ChangedParts {
  const isSameWorker = isDeepStrictEqual(previous.worker, worker);
  const isSameFree = isDeepStrictEqual(previous.free, free);
  return {
    ...(isSameWorker ? {} : {worker: worker ?? null}),
    ...(previous.isComplete === isComplete ? {} : {isComplete}),
    ...(isSameFree ? {} : {free}),
  };
}

function runChanges(previous: WorkerReport, next: WorkerReport): ChangedParts {
  const previousRuns = byKey(previous.runs);
  const nextRuns = byKey(next.runs);
  const runs = next.runs.filter(
    one => !isSameStatus(previousRuns.get(keyOf(one)), one),
  );
  const removedRuns = previous.runs
    .filter(one => !nextRuns.has(keyOf(one)))
    .map(({task, run}) => ({task, run}));
  return {
    ...(runs.length > 0 ? {runs} : {}),
    ...(removedRuns.length > 0 ? {removedRuns} : {}),
  };
}

function listChanges(previous: WorkerReport, next: WorkerReport): ChangedParts {
  const previousNumbers = new Set(previous.endings.map(one => one.number));
  const nextNumbers = new Set(next.endings.map(one => one.number));
  const endings = next.endings.filter(one => !previousNumbers.has(one.number));
  const settledEndings = [...previousNumbers].filter(
    one => !nextNumbers.has(one),
  );
  const {crashedRuns, crashedLives} = next;
  const refusals = newRefusals(previous, next);
  const isSameRuns = isDeepStrictEqual(previous.crashedRuns, crashedRuns);
  const isSameLives = isDeepStrictEqual(previous.crashedLives, crashedLives);
  return {
    ...(endings.length > 0 ? {endings} : {}),
    ...(settledEndings.length > 0 ? {settledEndings} : {}),
    ...(refusals.length > 0 ? {refusals} : {}),
    ...(isSameRuns ? {} : {crashedRuns}),
    ...(isSameLives ? {} : {crashedLives}),
  };
}

function newRefusals(
  previous: WorkerReport,
  next: WorkerReport,
): readonly RunRefusal[] {
  const known = new Set(previous.refusals.map(keyOf));
  return next.refusals.filter(one => !known.has(keyOf(one)));
}

function applyRuns(
  {runs}: WorkerReport,
  {runs: changed = [], removedRuns = []}: WorkerReportChange,
): readonly RunStatus[] {
  const all = byKey(runs);
  for (const removed of removedRuns) all.delete(keyOf(removed));
  for (const one of changed) all.set(keyOf(one), one);
  return [...all.values()];
}

function applyEndings(
  {endings}: WorkerReport,
  {endings: added = [], settledEndings = []}: WorkerReportChange,
) {
  const settled = new Set(settledEndings);
  return [...endings.filter(one => !settled.has(one.number)), ...added];
}

/** Keeps the length of the list, which drops its oldest refusals. */
function applyRefusals(
  {refusals}: WorkerReport,
  {refusals: added = []}: WorkerReportChange,
) {
  return [...refusals, ...added].slice(-MAX_REPORTED_REFUSALS);
}

function byKey(runs: readonly RunStatus[]): Map<string, RunStatus> {
  return new Map(runs.map(one => [keyOf(one), one]));
}

function keyOf({task, run}: RunKey): string {
  return `${task}#${run}`;
}

/** Whether two statuses are equal; every member is a primitive value. */
function isSameStatus(previous: RunStatus | undefined, next: RunStatus) {
  if (!previous) return false;
  const entries = Object.entries(next) as readonly [keyof RunStatus, unknown][];
  return entries.every(([name, value]) => previous[name] === value);
}
