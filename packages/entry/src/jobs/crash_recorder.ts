import {
  TaskName,
  type Clock,
  type CrashedRun,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import type {FleetAgent} from './fleet_agent.js';
import {LateCrashRecorder} from './late_crash_recorder.js';
import type {RunAgentClient} from './run_agent_client.js';
import type {RunIndex} from './run_index.js';

interface CrashRecorderParts {
  /** Whether this entry owns the job's shard. */
  readonly owns: (job: string) => boolean;
  readonly jobOf: (job: string) => OwnedJob | undefined;
  /** Whether no owner needs what is reported of a job that isn't among the owned. */
  readonly isUnneeded: (job: string) => boolean;
  readonly index: RunIndex;
  readonly agentClient: RunAgentClient;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
  /** Makes the job's progress durable, then calls back. */
  readonly persist: (job: OwnedJob, onDurable: () => void) => void;
}

/**
 * Records with which tasks workers have crashed.
 *
 * A crash is settled with the agent once it is durable; until then its task is
 * not started again. Idempotent by the number of the run.
 */
export class CrashRecorder {
  private readonly lateCrashRecorder: LateCrashRecorder;

  constructor(private readonly parts: CrashRecorderParts) {
    this.lateCrashRecorder = new LateCrashRecorder(parts);
  }

  /** Records the crashes of a report that are not known yet. */
  applyReport(agent: FleetAgent, report: WorkerReport): void {
    for (const crashedRun of report.crashedRuns ?? [])
      this.apply(agent, crashedRun);
    this.lateCrashRecorder.applyReport(agent, report);
  }

  /**
   * Records that a worker survived a run, which clears its task.
   *
   * That becomes durable at once, or the next owner would count the crashes before.
   */
  recordSurvival(job: OwnedJob, task: OwnedTask, run: number): void {
    const {crashes, name: taskId} = task;
    const wasSuspect = crashes.isSuspect;
    crashes.recordSurvival(run);
    this.parts.index.touch(task);
    if (!wasSuspect || crashes.isSuspect) return;
    this.parts.log.change('task cleared', {taskId, run});
    this.parts.persist(job, () => undefined);
  }

  private apply(agent: FleetAgent, crashedRun: CrashedRun): void {
    const {owns, jobOf, isUnneeded} = this.parts;
    const jobId = TaskName.parseJobId(crashedRun.task);
    if (jobId === undefined || !owns(jobId)) return;
    const job = jobOf(jobId);
    if (!job && !isUnneeded(jobId)) return;
    const task = job?.reportedTask(crashedRun.task);
    if (!job || !task || task.isDone) {
      this.settle(agent, jobId, crashedRun);
      return;
    }
    const {crashes} = task;
    if (!crashes.isKnown(crashedRun.run)) {
      this.record(agent, job, task, crashedRun);
    } else if (crashes.isDurable) this.settle(agent, jobId, crashedRun);
  }

  private record(
    agent: FleetAgent,
    job: OwnedJob,
    task: OwnedTask,
    crashedRun: CrashedRun,
  ): void {
    const {crashes, name: taskId} = task;
    crashes.record(crashedRun.run);
    this.parts.index.touch(task);
    job.markStarted();
    this.observe(agent, task, crashedRun);
    this.parts.persist(job, () => {
      crashes.markDurable();
      this.parts.log.change('crash durable', {taskId, run: crashedRun.run});
      this.settle(agent, job.id, crashedRun);
    });
  }

  private observe(
    agent: FleetAgent,
    {name: taskId, crashes}: OwnedTask,
    {run, life}: CrashedRun,
  ): void {
    const {log, metrics} = this.parts;
    const fields = {taskId, run, agent: agent.name, life};
    const crashCount = crashes.runs.length;
    log.change('worker crashed with a run', {...fields, crashCount});
    metrics.increment('entry.crashed_runs');
    if (!crashes.isGivenUp) return;
    const reason = 'workers crashed with its runs';
    log.change('task given up', {taskId, reason, crashCount});
    metrics.increment('entry.tasks_given_up');
  }

  private settle(agent: FleetAgent, job: string, crashedRun: CrashedRun): void {
    this.parts.agentClient.settleCrash(agent, job, crashedRun);
  }
}
