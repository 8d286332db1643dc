import {TaskName, type Clock, type RunEnding} from '@chicoryspring/contracts';
import {
  DurationModel,
  RunActivity,
  RunFit,
  WorkRateTable,
  type OwnedJob,
  type OwnedTask,
  type RunInProgress,
  type RunsInProgress,
  type StepClass,
} from '@chicoryspring/jobs';
import type {FleetAgentDirectory} from '../jobs/fleet_agent_directory.js';
import type {RunIndex} from '../jobs/run_index.js';

const FULL_PERCENT = 100;

interface RunDurationObserverParts {
  readonly agents: FleetAgentDirectory;
  readonly index: RunIndex;
  readonly jobOf: (job: string) => OwnedJob | undefined;
  readonly clock: Clock;
}

/** Learns the active run times of tasks, and on which workers runs are slow. */
export class RunDurationObserver implements RunsInProgress {
  readonly model = new DurationModel();
  readonly rates = new WorkRateTable();
  private readonly activities = new WeakMap<OwnedTask, RunActivity>();

  constructor(private readonly parts: RunDurationObserverParts) {}

  /** A run of the task was ordered now. */
  ordered(task: OwnedTask): void {
    // The progress from which a resumed run goes on is known once it is reported.
    const isResumed = task.checkpoint !== '';
    if (!task.run || isResumed) return;
    this.activities.set(task, RunActivity.ordered(task.run));
  }

  /** The run of the task was reported. */
  observe(task: OwnedTask): void {
    const {run} = task;
    if (!run) return;
    const now = this.parts.clock.now();
    const known = this.activities.get(task);
    const hasBegun = run.isListedAsStarting !== true;
    if (known?.run !== run.run || !(hasBegun || known.isWhole)) {
      this.activities.set(task, RunActivity.found(run, now));
      return;
    }
    const activity = known.withPace(run.pace, now);
    this.activities.set(task, hasBegun ? activity : activity.notBegun(now));
  }

  /** Learns from a run that did all of its task; called while it is indexed. */
  ended(job: OwnedJob, task: OwnedTask, {run, cause}: RunEnding): void {
    const activity = this.activities.get(task);
    if (cause !== 'done' || activity?.run !== run || !activity.isWhole) return;
    if (task.step.isLasting || task.run?.run !== run) return;
    const active = activity.activeMilliseconds(this.parts.clock.now());
    const stepClass = classOf(job, task);
    const {isLearned, expectedMilliseconds} = this.model.estimate(stepClass);
    if (isLearned)
      this.rates.record(task.run.agent, active / expectedMilliseconds);
    this.model.record(stepClass, active);
  }

  runsOn(agent: string, now: number): readonly RunInProgress[] {
    const runs: RunInProgress[] = [];
    for (const task of this.parts.index.tasksOn(agent)) {
      const job = this.parts.jobOf(TaskName.parseJobId(task.name) ?? '');
      const {run, step} = task;
      if (!job || !run) continue;
      const known = this.activities.get(task);
      const activity =
        known?.run === run.run ? known : RunActivity.found(run, now);
      runs.push({
        stepClass: classOf(job, task),
        commitment: RunFit.commitmentOf(step),
        isLasting: step.isLasting,
        activeMilliseconds: activity.activeMilliseconds(now),
        firstPercent: activity.firstPercent,
        percent: run.percent,
        pace: run.pace,
      });
    }
    return runs;
  }

  /** A run that lasts is reported with full progress while it works. */
  hasForeignLastingRun(agent: string): boolean {
    const {agents, index} = this.parts;
    const own = new Set(index.tasksOn(agent).map(({name}) => name));
    const runs = agents.get(agent)?.report?.runs ?? [];
    return runs.some(
      ({task, percent}) => percent === FULL_PERCENT && !own.has(task),
    );
  }
}

function classOf(job: OwnedJob, {position}: OwnedTask): StepClass {
  const {stepNumber, step} = position;
  const {estimateMilliseconds} = step;
  return {queue: job.record.job.queue, stepNumber, estimateMilliseconds};
}
