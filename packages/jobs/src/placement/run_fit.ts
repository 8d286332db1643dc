import {TaskName, type Resources} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/** Whether a worker is eligible for a task and has the free capacity. */
export class RunFit {
  /** Whether the constraints of the queue and the step allow the worker. */
  static isEligible(request: RunPlacementRequest, view: WorkerView): boolean {
    const {task, service, domainsOut, now} = request;
    const {worker, agent} = view;
    const {requiredLabel, mostPerWorker} = task.step;
    const stepName = TaskName.stepPrefix(task.name);
    const runsOfStep = view.runsByStep.get(stepName) ?? 0;
    return (
      worker.service === service &&
      !worker.isLeaving &&
      worker.isAnswering &&
      !domainsOut.includes(worker.failureDomain) &&
      (!requiredLabel || worker.labels.includes(requiredLabel)) &&
      (!mostPerWorker || runsOfStep < mostPerWorker) &&
      !task.isAvoided(agent, now)
    );
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
