import type {InterferenceEstimator} from '../interference/interference_estimator_types.js';
import {serviceClassOf} from '../interference/service_class.js';
import type {TaskSpread} from '../spread/task_spread.js';
import type {ClassUsageTracker} from '../usage/class_usage_tracker.js';
import type {Worker} from '../worker/worker_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Standard deviations that count against a pair not yet together here. */
const DEVIATION_WEIGHT = 0.5;
/** Power with which the cost of a slowed service grows. */
const TAIL_EXPONENT = 2;
/** Share of the processors in use from which everything is slowed. */
const SATURATION_SHARE = 0.9;
const WORKER_SPREAD_COST = 0.02;
const RACK_SPREAD_COST = 0.01;
const DOMAIN_SPREAD_COST = 0.002;

/** What starting a task on a worker would cost; in slowdowns of one task. */
export class ColocationCost {
  constructor(
    private readonly estimator: InterferenceEstimator,
    private readonly usage: ClassUsageTracker,
    private readonly spread: TaskSpread,
  ) {}

  /** The weighed cost of a placement; lower is better. */
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
   * Harm to the service; the same harm costs more where it is slowed already,
   * since the tail is made by the slowest workers.
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

  /** Harm to the batch tasks there, and theirs to this one. */
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

  /** Slowdown because more processors are used than there are. */
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
    const count = this.spread.countNear(request.task, worker.announcement);
    return (
      count.onWorker * WORKER_SPREAD_COST +
      count.inRack * RACK_SPREAD_COST +
      count.inFailureDomain * DOMAIN_SPREAD_COST
    );
  }

  /** The harm to expect; uncertainty counts as far as caution asks. */
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

/** Caution is for workers where the class of the task is new. */
function deviationWeightOf(request: PlacementRequest, worker: Worker): number {
  const {taskClass} = request.task;
  for (const one of worker.running) {
    if (one.taskClass === taskClass && one.tasks > 0) return 0;
  }
  return DEVIATION_WEIGHT;
}
