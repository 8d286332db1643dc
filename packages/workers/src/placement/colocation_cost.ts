import type {InterferenceEstimator} from '../interference/interference_estimator_types.js';
import {serviceClassOf} from '../interference/service_class.js';
import type {TaskSpread} from '../spread/task_spread.js';
import type {ClassUsageTracker} from '../usage/class_usage_tracker.js';
import type {Worker} from '../worker/worker_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Standard deviations added where the task's class does not run yet. */
const DEVIATION_WEIGHT = 0.5;
/** Exponent of a service's slowdown in the cost. */
const TAIL_EXPONENT = 2;
/** Share of used processors above which all tasks slow down. */
const SATURATION_SHARE = 0.9;
/**
 * Cost for each task of the same caller and class on the worker, and lower ones
 * for each in its rack and in its failure domain.
 */
const WORKER_SPREAD_COST = 0.02;
const RACK_SPREAD_COST = 0.01;
const DOMAIN_SPREAD_COST = 0.002;

/** Cost of starting a task on a worker, in units of one task's slowdown. */
export class ColocationCost {
  constructor(
    private readonly estimator: InterferenceEstimator,
    private readonly usage: ClassUsageTracker,
    private readonly spread: TaskSpread,
  ) {}

  /** The weighted cost of a placement; lower is better. */
  of(request: PlacementRequest, worker: Worker): number {
    const {tailWeight, workWeight} = request.weights;
    const deviationWeight = deviationWeightOf(request, worker);
    return (
      tailWeight * this.tailCost(request, worker, deviationWeight) +
      workWeight * this.workCost(request, worker, deviationWeight) +
      this.saturationCost(request, worker) +
      this.spreadCost(request, worker)
    );
  }

  /**
   * Interference with the worker's service. The same interference costs more
   * where the service is slowed already, since the slowest workers determine
   * the tail latency.
   */
  private tailCost(
    request: PlacementRequest,
    worker: Worker,
    deviationWeight: number,
  ): number {
    const {service} = worker.announcement;
    if (service === undefined) return 0;
    const affected = serviceClassOf(service);
    const {now} = request;
    let slowdown = 1;
    for (const {taskClass, tasks} of worker.running) {
      slowdown +=
        tasks * this.estimator.estimate(affected, taskClass, now).interference;
    }
    const {taskClass} = request.task;
    const added = this.expectedInterference(
      affected,
      taskClass,
      deviationWeight,
      now,
    );
    return (slowdown + added) ** TAIL_EXPONENT - slowdown ** TAIL_EXPONENT;
  }

  /** Interference in both directions with the batch tasks on the worker. */
  private workCost(
    request: PlacementRequest,
    worker: Worker,
    deviationWeight: number,
  ): number {
    const {now} = request;
    const placedClass = request.task.taskClass;
    let cost = 0;
    for (const {taskClass, tasks} of worker.running) {
      if (tasks === 0) continue;
      cost +=
        tasks *
        this.expectedInterference(taskClass, placedClass, deviationWeight, now);
      cost +=
        tasks *
        this.expectedInterference(placedClass, taskClass, deviationWeight, now);
    }
    return cost;
  }

  /** Slowdown of the running classes because the processors are saturated. */
  private saturationCost(request: PlacementRequest, worker: Worker): number {
    const {processors} = worker.announcement.capacity;
    const used =
      this.usage.usedProcessors(worker.running) +
      this.usage.expectedProcessors(request.task);
    return (
      Math.max(0, used / processors - SATURATION_SHARE) * worker.running.length
    );
  }

  private spreadCost(request: PlacementRequest, worker: Worker): number {
    const count = this.spread.countMatching(request.task, worker.announcement);
    return (
      count.onWorker * WORKER_SPREAD_COST +
      count.inRack * RACK_SPREAD_COST +
      count.inFailureDomain * DOMAIN_SPREAD_COST
    );
  }

  /** Estimated interference plus its weighted standard deviation. */
  private expectedInterference(
    affected: string,
    other: string,
    deviationWeight: number,
    now: number,
  ): number {
    const {interference, deviation} = this.estimator.estimate(
      affected,
      other,
      now,
    );
    return interference + deviationWeight * deviation;
  }
}

/** Uncertainty counts only on workers where the task's class is new. */
function deviationWeightOf(request: PlacementRequest, worker: Worker): number {
  const {taskClass} = request.task;
  for (const one of worker.running) {
    if (one.taskClass === taskClass && one.tasks > 0) return 0;
  }
  return DEVIATION_WEIGHT;
}
