import type {Clock, JobStep} from '@chicoryspring/contracts';
import {
  isStarved,
  WorkerViewBuilder,
  type JobOrder,
  type OwnedJob,
  type OwnedTask,
  type RunPlacementPolicy,
  type RunPlacementRequest,
  type WorkerView,
} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import type {FleetAgent} from './fleet_agent.js';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {FleetViews} from './fleet_views.js';
import {RunAgentClient} from './run_agent_client.js';
import {JobGuard} from './job_guard.js';
import {buildOrder} from './run_order_builder.js';
import type {RunIndex} from './run_index.js';
import {RunOrderSender} from './run_order_sender.js';
import type {RunReservations} from '../look_ahead/run_reservations.js';
import {isSlowed} from './slowed_run.js';
import {UnplacedTaskLog} from './unplaced_task_log.js';

/** Maximum number of runs that are relocated in one round. */
const MAX_RELOCATIONS = 4;
interface JobSchedulerParts {
  readonly agents: FleetAgentDirectory;
  readonly index: RunIndex;
  readonly views: FleetViews;
  readonly agentClient: RunAgentClient;
  readonly policy: RunPlacementPolicy;
  readonly reservations: RunReservations;
  readonly order: JobOrder;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
  /** Reason for which an agent may not get runs now; undefined if it may. */
  readonly unschedulableReason: (agent: FleetAgent) => string | undefined;
  readonly domainsOut: () => readonly string[];
}

interface Relocation {
  readonly job: OwnedJob;
  readonly task: OwnedTask;
  readonly agent: string;
}

interface Placement {
  readonly task: OwnedTask;
  readonly view: WorkerView;
  /** Initial pace in percent, 0 to 100. */
  readonly pace: number;
}

/** Places due tasks on workers and sends their start orders. */
export class JobScheduler {
  /** Due tasks without a suitable worker in the last round. */
  private unplacedCount = 0;
  private readonly unplacedJobs = new Set<OwnedJob>();
  private readonly unplacedTaskLog: UnplacedTaskLog;
  private readonly orderSender: RunOrderSender;
  private readonly guard: JobGuard;

  constructor(private readonly parts: JobSchedulerParts) {
    this.orderSender = new RunOrderSender(parts);
    this.guard = new JobGuard(parts.log);
    this.unplacedTaskLog = new UnplacedTaskLog({
      ...parts,
      passedOver: (...unplaced) => this.passedOver(...unplaced),
    });
  }

  get unplacedTasks(): number {
    return this.unplacedCount;
  }

  /** Whether a due task of the job found no worker in the last round. */
  hasUnplacedTasks(job: OwnedJob): boolean {
    return this.unplacedJobs.has(job);
  }

  /** Places the due tasks of the jobs, the most urgent first. */
  place(jobs: readonly OwnedJob[]): void {
    const now = this.parts.clock.now();
    this.unplacedCount = 0;
    this.unplacedJobs.clear();
    const due = jobs.filter(job =>
      this.guard.run(job, () => hasDueTasks(job, now)),
    );
    this.parts.reservations.beginRound(due);
    const sorted = this.parts.order.sort(due, now);
    if (sorted.length === 0) return;
    const views = this.views(now);
    for (const job of sorted)
      this.guard.run(job, () => this.placeJob(job, views, now));
  }

  private placeJob(
    job: OwnedJob,
    views: Map<string, WorkerView>,
    now: number,
  ): void {
    /** Steps of which a task found no worker; the others would find none. */
    const fullSteps = new Set<JobStep>();
    for (const group of job.dueGroups(now)) {
      const {step} = group[0]!;
      const placements = fullSteps.has(step)
        ? undefined
        : this.findWorkers(job, group, views, now);
      if (placements) {
        this.start(job, placements, now);
        continue;
      }
      if (group.every(task => task.avoidsNone(now))) fullSteps.add(step);
      this.recordUnplaced(job, group, views, now);
    }
  }

  /**
   * Runs that had better run elsewhere and for which there is another suitable
   * worker: lasting ones whose worker drains, and some of those that were slowed
   * to protect others, the slowest first.
   */
  relocationCandidates(jobs: readonly OwnedJob[]): readonly Relocation[] {
    const now = this.parts.clock.now();
    const all = jobs.flatMap(job => job.tasks.map(task => ({job, task})));
    const leaving = all.filter(({task}) => this.isLeftBehind(task));
    const slow = all
      .filter(({task}) => isSlowed(task, now))
      .sort((left, right) => left.task.run!.pace - right.task.run!.pace);
    const views = this.views(now);
    return [
      ...this.relocatable(leaving, views, Infinity),
      ...this.relocatable(slow, views, MAX_RELOCATIONS),
    ];
  }

  /** Whether a lasting run is in progress on a worker that drains. */
  private isLeftBehind({run, step}: OwnedTask): boolean {
    if (!step.isLasting || run?.phase !== 'running') return false;
    return (
      this.parts.agents.get(run.agent)?.report?.worker?.isDraining === true
    );
  }

  private relocatable(
    runs: readonly Omit<Relocation, 'agent'>[],
    views: Map<string, WorkerView>,
    limit: number,
  ): readonly Relocation[] {
    const now = this.parts.clock.now();
    const found: Relocation[] = [];
    for (const {job, task} of runs) {
      if (found.length === limit) break;
      const {agent} = task.run!;
      const others = new Map(views);
      others.delete(agent);
      if (!this.findWorkers(job, [task], others, now)) continue;
      for (const [name, view] of others) views.set(name, view);
      found.push({job, task, agent});
    }
    return found;
  }

  private views(now: number): Map<string, WorkerView> {
    const views = new Map<string, WorkerView>();
    for (const agent of this.parts.agents.all) {
      if (this.unusableReason(agent, now) !== undefined) continue;
      const view = this.parts.views.viewOf(agent);
      if (view) views.set(agent.name, view);
    }
    return views;
  }

  /** Reason for which no task can be placed at an agent now, if any. */
  private unusableReason(agent: FleetAgent, now: number): string | undefined {
    if (!agent.hasFullReport) return 'no complete report';
    if (agent.ejectedUntil > now) return 'ejected';
    return this.parts.unschedulableReason(agent);
  }

  /** Why each agent was passed over for a task that found no worker. */
  private passedOver(
    job: OwnedJob,
    task: OwnedTask,
    views: ReadonlyMap<string, WorkerView>,
  ): readonly string[] {
    const now = this.parts.clock.now();
    const request = this.requestOf(job, task, now);
    return this.parts.agents.all.map(agent => {
      const view = views.get(agent.name);
      if (view) return this.parts.policy.rejectionOf(request, view);
      return this.unusableReason(agent, now) ?? 'no worker';
    });
  }

  private requestOf(
    job: OwnedJob,
    task: OwnedTask,
    now: number,
  ): RunPlacementRequest {
    return {
      task,
      service: job.schedulingParameters.service,
      priority: job.schedulingParameters.priority,
      queue: job.record.job.queue,
      domainsOut: this.parts.domainsOut(),
      now,
      isStarved: isStarved(job, now),
    };
  }

  /** A worker for each task or undefined; adds their runs to the views. */
  private findWorkers(
    job: OwnedJob,
    group: readonly OwnedTask[],
    views: Map<string, WorkerView>,
    now: number,
  ): readonly Placement[] | undefined {
    const {policy} = this.parts;
    const candidates = new Map(views);
    const placements: Placement[] = [];
    for (const task of group) {
      const request = this.requestOf(job, task, now);
      const view = policy.choose(request, [...candidates.values()]);
      if (!view) return undefined;
      placements.push({task, view, pace: policy.pace(request, view)});
      const run = {
        ...RunAgentClient.descriptionOf(task),
        task: task.name,
        run: 0,
        isIsolated: task.crashes.isSuspect,
      };
      candidates.set(view.agent, WorkerViewBuilder.withRun(view, run));
    }
    for (const [name, view] of candidates) views.set(name, view);
    return placements;
  }

  private recordUnplaced(
    job: OwnedJob,
    group: readonly OwnedTask[],
    views: ReadonlyMap<string, WorkerView>,
    now: number,
  ): void {
    this.unplacedCount += group.length;
    this.unplacedJobs.add(job);
    this.unplacedTaskLog.record(job, group[0]!, views);
    this.parts.order.recordUnplaced(job, now);
    this.parts.reservations.unplaced(group, views, task =>
      this.requestOf(job, task, now),
    );
  }

  private start(job: OwnedJob, group: readonly Placement[], now: number): void {
    if (!job.hasOrderedRun) {
      const waited = now - job.record.acceptedInstant;
      this.parts.metrics.timing('entry.job_first_start_time', waited);
    }
    job.hasOrderedRun = true;
    job.idleSince = undefined;
    this.unplacedTaskLog.forget(job);
    const tasks = group.map(({task}) => task);
    this.parts.order.recordStart(job, tasks, now);
    const lastRun = Math.max(...group.map(({task}) => task.lastRunNumber));
    for (const {task, view, pace} of group) {
      const {agent, worker} = view;
      const run = lastRun + 1;
      this.parts.index.set(task, {
        run,
        agent,
        agentLife: this.parts.agents.get(agent)?.report?.agentLife ?? '',
        life: worker.life,
        phase: 'starting',
        percent: 0,
        pace,
        orderedAt: now,
      });
      const order = buildOrder(job, task, run, pace);
      void this.orderSender.send(job, order, task, view);
    }
    const placed = group.map(({task, view}) => ({
      request: this.requestOf(job, task, now),
      view,
    }));
    this.parts.reservations.started(placed);
  }
}

/** Whether tasks of a job may start now; records since when it waits for a run. */
function hasDueTasks(job: OwnedJob, now: number): boolean {
  job.openDueOccurrences(now);
  const isDue = job.hasDueTasks(now) && job.outcome === 'accepted';
  const isIdle = isDue && !job.hasRuns;
  job.idleSince = isIdle ? (job.idleSince ?? now) : undefined;
  return isDue;
}
