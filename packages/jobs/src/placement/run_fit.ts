import {TaskName, type Resources} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/** Whether a worker is eligible for a task and has the free capacity. */
export class RunFit {
  /** Whether the constraints of the queue and the step allow the worker. */
  static isEligible(request: RunPlacementRequest, view: WorkerView): boolean {
    return RunFit.exclusionOf(request, view) === undefined;
  }

  /** Constraint that excludes the worker, in a few words; undefined if none. */
  static exclusionOf(
    {task, service, domainsOut, now}: RunPlacementRequest,
    {worker, agent, runsByStep}: WorkerView,
  ): string | undefined {
    const {requiredLabel, mostPerWorker} = task.step;
    if (worker.service !== service) return 'other service';
    if (worker.isLeaving) return 'leaving';
    if (!worker.isAnswering) return 'not answering';
    if (domainsOut.includes(worker.failureDomain)) return 'domain out';
    if (requiredLabel && !worker.labels.includes(requiredLabel))
      return 'label missing';
    if (mostPerWorker) {
      const runsOfStep = runsByStep.get(TaskName.stepPrefix(task.name)) ?? 0;
      if (runsOfStep >= mostPerWorker) return 'runs of the step';
    }
    return task.isAvoided(agent, now) ? 'avoided' : undefined;
  }

  /** Whether the free capacity of the worker suffices for the task. */
  static hasCapacity(request: RunPlacementRequest, view: WorkerView): boolean {
    return fits(RunFit.commitmentOf(request.task.step), view.free);
  }

  /** What a run of the step reserves: no processors for best effort. */
  static commitmentOf(step: {
    readonly resources: Resources;
    readonly isFilling: boolean;
  }): Resources {
    const {resources, isFilling} = step;
    return isFilling ? {...resources, processors: 0} : resources;
  }
}

function fits(needed: Resources, free: Resources): boolean {
  return (
    needed.processors <= free.processors &&
    needed.memoryMebibytes <= free.memoryMebibytes &&
    needed.accelerators <= free.accelerators
  );
}
