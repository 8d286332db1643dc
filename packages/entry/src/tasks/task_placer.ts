import {
  ChicoryspringError,
  type Clock,
  type Task,
  type TaskEnding,
  type TaskLoss,
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
  LostTaskPolicy,
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

/** States in which a task occupies resources of a worker. */
const OCCUPYING_STATES: ReadonlySet<TaskState> = new Set([
  'starting',
  'running',
  'stopping',
  'cancelling',
]);

/**
 * Chooses workers for tasks, and derives from task endings the health of
 * workers and whether a failed task is retried.
 */
export class TaskPlacer {
  private readonly learner = new DecayingInterferenceLearner();
  private readonly usage = new ClassUsageTracker();
  private readonly spread = new TaskSpread();
  private readonly health = new WorkerHealthTracker();
  private readonly capacity = new FleetCapacity();
  private readonly policy: PlacementPolicy;
  private readonly attempts: AttemptPolicy = new DistinctWorkersAttemptPolicy();
  private readonly lostTasks = new LostTaskPolicy();

  /** @param random returns numbers in [0, 1) */
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

  /** Records the capacity of an announced worker. */
  recordAnnouncement({capacity}: WorkerAnnouncement): void {
    this.capacity.recordAnnouncement(capacity, this.clock.now());
  }

  /**
   * Updates class usage and interference estimates from a load report.
   *
   * A task is slowed down by all others on its worker, also by those of its
   * own class.
   */
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

  /** Throws if the task fits on no worker of the fleet, even an idle one. */
  requireFits({resources}: Task): void {
    if (!this.capacity.fitsNoWorker(resources, this.clock.now())) return;
    const message = 'no worker of the fleet is large enough';
    throw new ChicoryspringError('task-fits-no-worker', message);
  }

  /**
   * Chooses the worker for a waiting task and reserves its resources there.
   *
   * Returns undefined when no worker has enough free capacity.
   */
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

  /** Counts a task for the spread that its previous owner placed. */
  restorePlacement({task, state, worker}: TaskRecord): void {
    const placedOn = this.index.get(worker ?? '');
    if (placedOn && OCCUPYING_STATES.has(state))
      this.spread.add(task, placedOn.announcement);
  }

  /** Removes a task of a shard that this entry has lost. */
  removeTask(taskId: string): void {
    this.spread.remove(taskId);
  }

  /** Records in the worker's health that it accepted the task. */
  recordStarted({worker}: TaskRecord): void {
    if (worker) this.health.recordStart(worker, this.clock.now());
  }

  /** Releases the resources that a task occupied on its worker. */
  releaseWorker({task, worker}: TaskRecord): void {
    this.spread.remove(task.id);
    if (worker) this.index.recordEnding(worker, task);
  }

  /** Applies the ending of a task epoch; returns the task's next event. */
  handleEnding(record: TaskRecord, ending: TaskEnding): TaskStep {
    this.releaseWorker(record);
    if (ending.result === 'finished') {
      this.health.recordSuccess(ending.worker);
      return {event: 'finish', change: {}};
    }
    if (ending.result === 'failed') return this.handleFailure(record, ending);
    if (ending.loss) return this.handleLoss(record, ending.loss);
    return {event: 'stopped', change: {}};
  }

  /** Decides whether a task is placed again that its worker has lost. */
  private handleLoss(record: TaskRecord, loss: TaskLoss): TaskStep {
    const {losses, decision} = this.lostTasks.decide(record.losses, loss);
    if (decision === 'retry') return {event: 'stopped', change: {losses}};
    return {event: 'fail', change: {losses, reason: 'quarantined'}};
  }

  /**
   * Decides whether a failed task is retried.
   *
   * A failure on a worker that was ejected and has not recovered counts against
   * the worker, not against the task.
   */
  private handleFailure(
    record: TaskRecord,
    {worker, taskId}: TaskEnding,
  ): TaskStep {
    const now = this.clock.now();
    const fleetSize = this.index.size;
    const isHealthy = this.health.isHealthy(worker);
    this.health.recordFailure(worker, taskId, now, fleetSize);
    if (!isHealthy) return {event: 'stopped', change: {}};
    const failedWorkers = [...new Set([...record.failedWorkers, worker])];
    const attempts = this.maxAttemptsOf(record.task);
    const decision = this.attempts.decide({failedWorkers, attempts, fleetSize});
    if (decision === 'retry')
      return {event: 'stopped', change: {failedWorkers}};
    return {event: 'fail', change: {failedWorkers, reason: 'quarantined'}};
  }

  private maxAttemptsOf({taskClass}: Task): number {
    const classes = this.configuration().objects('TaskClass');
    const found = classes.find(one => one.name === taskClass);
    return found?.spec.attempts ?? DEFAULT_ATTEMPTS;
  }

  private get weights(): PlacementWeights {
    return this.configuration().objects('Policy')[0]?.spec ?? DEFAULT_WEIGHTS;
  }
}
