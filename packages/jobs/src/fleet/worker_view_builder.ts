import {
  ResourcesArithmetic,
  TaskName,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {RunFit} from '../placement/run_fit.js';
import type {PlacedRun} from './placed_run_types.js';
import type {WorkerView} from './worker_view_types.js';

const MILLICORES_PER_PROCESSOR = 1_000;

/** Builds worker views from agent reports and the runs of this owner. */
export class WorkerViewBuilder {
  /** The reported worker; undefined while the agent has no worker. */
  static fromReport(
    report: WorkerReport,
    runs: readonly PlacedRun[],
  ): WorkerView | undefined {
    const {worker, agent, version, free} = report;
    if (!worker) return undefined;
    const statuses = new Map(
      report.runs.map(one => [`${one.task}#${one.run}`, one]),
    );
    let view: WorkerView = {
      agent,
      worker,
      free,
      latencyCriticalRuns: [],
      bestEffortRuns: [],
      longRunningProcessors: 0,
      runCount: report.runs.length,
      isolatedJob: isolatedJobOf(report),
      runsByStep: new Map(),
    };
    for (const run of runs) {
      const status = statuses.get(`${run.task}#${run.run}`);
      const isCounted = (run.sinceVersion ?? Infinity) <= version;
      const measure = status?.measure ?? 0;
      view = WorkerViewBuilder.withRun(view, run, measure, isCounted);
    }
    return view;
  }

  /**
   * The view with one more run.
   *
   * The measure is the tail latency in milliseconds of a latency-critical run,
   * else the millicores in use; 0 while nothing is measured. A run is counted
   * if the reported free capacity already excludes what it reserves.
   */
  static withRun(
    view: WorkerView,
    run: PlacedRun,
    measure = 0,
    isCounted = false,
  ): WorkerView {
    const {isFilling, isLasting, image = '', goalMilliseconds} = run;
    const {processors} = run.resources;
    const step = TaskName.stepPrefix(run.task);
    const runsByStep = new Map(view.runsByStep);
    runsByStep.set(step, (runsByStep.get(step) ?? 0) + 1);
    const used = measure > 0 ? measure / MILLICORES_PER_PROCESSOR : processors;
    const capacity = view.worker.capacity.processors;
    const job = TaskName.parseJobId(run.task) ?? '';
    const isLatencyCritical = goalMilliseconds !== undefined && !isFilling;
    const latencyCriticalRun = {
      job,
      image,
      goalMilliseconds: goalMilliseconds ?? 0,
      tailMilliseconds: measure,
    };
    return {
      ...view,
      runCount: isCounted ? view.runCount : view.runCount + 1,
      isolatedJob: run.isIsolated ? job : view.isolatedJob,
      free: isCounted
        ? view.free
        : ResourcesArithmetic.subtract(view.free, RunFit.commitmentOf(run)),
      latencyCriticalRuns: isLatencyCritical
        ? [...view.latencyCriticalRuns, latencyCriticalRun]
        : view.latencyCriticalRuns,
      bestEffortRuns: isFilling
        ? [
            ...view.bestEffortRuns,
            {
              image,
              processors: used,
              share: measure / MILLICORES_PER_PROCESSOR / capacity,
              fullShare: Math.max(used, processors) / capacity,
            },
          ]
        : view.bestEffortRuns,
      longRunningProcessors:
        view.longRunningProcessors + (isLasting && !isFilling ? processors : 0),
      runsByStep,
    };
  }
}

/** Job of the isolated run that is beginning on the worker, if there is one. */
function isolatedJobOf({runs}: WorkerReport): string | undefined {
  const isolated = runs.find(one => one.isIsolated);
  return isolated && TaskName.parseJobId(isolated.task);
}
