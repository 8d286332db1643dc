import {
  TaskName,
  type Resources,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {RunFit} from '../placement/run_fit.js';
import type {WorkerView} from './worker_view_types.js';

/** What one run takes of a worker, as the owner knows it. */
interface KnownRun {
  readonly task: string;
  readonly resources: Resources;
  readonly isFilling: boolean;
  readonly isLasting: boolean;
  /** Version from which on reports contain it; undefined when unknown. */
  readonly sinceVersion?: number | undefined;
}

/** Makes views of workers from their reports and the owner's own runs. */
export class FleetWorkerView {
  /** The worker of a report; undefined while the agent has none. */
  static of(
    report: WorkerReport,
    runs: readonly KnownRun[],
  ): WorkerView | undefined {
    const {worker, agent, version} = report;
    if (!worker) return undefined;
    const free = {...report.free};
    const runsByStep = new Map<string, number>();
    let fillingProcessors = 0;
    let lastingProcessors = 0;
    for (const run of runs) {
      const step = TaskName.stepOf(run.task);
      runsByStep.set(step, (runsByStep.get(step) ?? 0) + 1);
      const {processors} = run.resources;
      if (run.isFilling) fillingProcessors += processors;
      if (run.isLasting && !run.isFilling) lastingProcessors += processors;
      const isCounted = (run.sinceVersion ?? Infinity) <= version;
      if (isCounted) continue;
      const committed = RunFit.committed(run);
      free.processors -= committed.processors;
      free.memoryMebibytes -= committed.memoryMebibytes;
      free.accelerators -= committed.accelerators;
    }
    return {
      agent,
      worker,
      free,
      fillingProcessors,
      lastingProcessors,
      runsByStep,
    };
  }
}
