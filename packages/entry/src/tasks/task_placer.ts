import {
  ChicoryspringError,
  type Clock,
  type Task,
  type TaskEnding,
  type TaskRecord,
  type TaskState,
  type WorkerAnnouncement,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import type {ActiveConfiguration} from '@chicoryspring/configuration';
import {
  ClassUsageTracker,
  ColocationCost,
  ColocationPlacementPolicy,
  DecayingInterferenceLearner,
  DistinctWorkersAttemptPolicy,
  FleetCapacity,
  TaskSpread,
  WorkerHealthTracker,
  type AttemptPolicy,
  type PlacementPolicy,
  type PlacementWeights,
  type InMemoryWorkerIndex,
} from '@chicoryspring/workers';
import type {TaskStep} from './task_step_types.js';

const DEFAULT_ATTEMPTS = 3;
const DEFAULT_WEIGHTS: PlacementWeights = {tailWeight: 0.5, workWeight: 0.5};

/** States in which a task holds a worker. */
const HOLDING: ReadonlySet<TaskState> = new Set([
  'starting',
  'running',
  'stopping',
  'cancelling',
]);

/** Where tasks go, and what their endings say of tasks and workers. */
export class TaskPlacer {
  private readonly learner = new DecayingInterferenceLearner();
  private readonly usage = new ClassUsageTracker();
  private readonly spread = new TaskSpread();
  private readonly health = new WorkerHealthTracker();
  private readonly capacity = new FleetCapacity();
  private readonly policy: PlacementPolicy;
  private readonly attempts: AttemptPolicy = new DistinctWorkersAttemptPolicy();

  /** @param random gives numbers from 0 up to, but not including, 1 */
  constructor(
    private readonly index: InMemoryWorkerIndex,
    private readonly configuration: () => ActiveConfiguration,
    private readonly clock: Clock,
    random: () => number,
  ) {
    const {learner, usage, spread} = this;
    const cost = new ColocationCost(learner, usage, spread);
    this.policy = new ColocationPlacementPolicy(cost, random);
  }

  /** Takes in the size of an announced worker. */
  recordAnnouncement({capacity}: WorkerAnnouncement): void {
    this.capacity.recordAnnouncement(capacity, this.clock.now());
  }

  /** Learns from a load report. */
  recordLoad({classes}: WorkerLoad): void {
    if (!classes) return;
    this.usage.recordLoad(classes);
    const measuredAt = this.clock.now();
    for (const one of classes) {
      if (one.pace === undefined || one.pace <= 0) continue;
      const others = classes.map(other =>
        other === one ? {...other, tasks: other.tasks - 1} : other,
      );
      const {taskClass: affected} = one;
      const slowdown = 1 / one.pace;
      this.learner.observe({affected, others, slowdown, measuredAt});
    }
  }

  /** Refuses a task that no worker, however idle, could hold. */
  requireFits({resources}: Task): void {
    if (!this.capacity.fitsNoWorker(resources, this.clock.now())) return;
    const message = 'no worker of the fleet is large enough';
    throw new ChicoryspringError('task-fits-no-worker', message);
  }

  /** The worker on which a waiting task starts, if one can take it. */
  chooseWorker(record: TaskRecord): string | undefined {
    const now = this.clock.now();
    const excluded = [...record.failedWorkers, ...this.health.excluded(now)];
    const request = {
      task: record.task,
      excludedWorkers: new Set(excluded),
      domainsOut: new Set(this.configuration().domainsOut),
      weights: this.weights,
      now,
    };
    const chosen = this.policy.place(request, this.index);
    if (!chosen) return undefined;
    const {announcement} = chosen;
    this.index.recordPlacement(announcement.worker, record.task);
    this.spread.add(record.task, announcement);
    return announcement.worker;
  }

  /** Counts a task that an earlier owner of its shard placed. */
  restorePlacement({task, state, worker}: TaskRecord): void {
    const known = this.index.get(worker ?? '');
    if (known && HOLDING.has(state)) this.spread.add(task, known.announcement);
  }

  /** Forgets a task of a shard that has another owner now. */
  forget(taskId: string): void {
    this.spread.remove(taskId);
  }

  /** Notes that the worker took the task. */
  recordStarted({worker}: TaskRecord): void {
    if (worker) this.health.recordStart(worker, this.clock.now());
  }

  /** Notes that a task holds its worker no longer. */
  releaseWorker({task, worker}: TaskRecord): void {
    this.spread.remove(task.id);
    if (worker) this.index.recordEnding(worker, task);
  }

  /** What the end of an epoch makes of the task. */
  handleEnding(record: TaskRecord, ending: TaskEnding): TaskStep {
    this.releaseWorker(record);
    if (ending.result === 'finished') {
      this.health.recordSuccess(ending.worker);
      return {event: 'finish', change: {}};
    }
    if (ending.result === 'failed') return this.fail(record, ending);
    return {event: 'stopped', change: {}};
  }

  private fail(record: TaskRecord, {worker, taskId}: TaskEnding): TaskStep {
    const now = this.clock.now();
    const fleetSize = this.index.size;
    const isHealthy = this.health.isHealthy(worker);
    this.health.recordFailure(worker, taskId, now, fleetSize);
    if (!isHealthy) return {event: 'stopped', change: {}};
    const failedWorkers = [...new Set([...record.failedWorkers, worker])];
    const attempts = this.attemptsOf(record.task);
    const decision = this.attempts.decide({failedWorkers, attempts, fleetSize});
    if (decision === 'retry')
      return {event: 'stopped', change: {failedWorkers}};
    return {event: 'fail', change: {failedWorkers, reason: 'quarantined'}};
  }

  private attemptsOf({taskClass}: Task): number {
    const classes = this.configuration().objects('TaskClass');
    const found = classes.find(one => one.name === taskClass);
    return found?.spec.attempts ?? DEFAULT_ATTEMPTS;
  }

  private get weights(): PlacementWeights {
    return this.configuration().objects('Policy')[0]?.spec ?? DEFAULT_WEIGHTS;
  }
}
