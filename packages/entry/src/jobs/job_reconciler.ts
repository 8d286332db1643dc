import {
  TaskName,
  type Clock,
  type RunEnding,
  type RunEndingCause,
  type RunStatus,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import {CrashRecorder} from './crash_recorder.js';
import {EndingSettler} from './ending_settler.js';
import type {FleetAgent} from './fleet_agent.js';
import type {RunAgentClient} from './run_agent_client.js';
import type {RunDurationObserver} from '../look_ahead/run_duration_observer.js';
import type {RunIndex} from './run_index.js';
import {SilentWorkerRecorder} from './silent_worker_recorder.js';
import {updatedRun} from './run_update.js';
import {isUnlistedRunOver} from './unlisted_run.js';

/** Time after which the call to stop a run is repeated. */
const STOP_RETRY_MILLISECONDS = 300;
/** Time for which a task avoids a worker that failed or rejected it. */
const AVOID_MILLISECONDS = 2_000;
/** Failures in a row after which a worker is ejected: gets no new runs. */
const EJECTION_FAILURE_COUNT = 3;
const EJECTION_MILLISECONDS = 2_500;
/** Delay before a long-running task that failed is started again. */
const RESTART_MILLISECONDS = 100;
/** Causes of endings that show that the run did not crash its worker. */
const SURVIVED_CAUSES = new Set<RunEndingCause>(['done', 'failed']);

interface JobReconcilerParts {
  /** Whether this entry owns the job's shard. */
  readonly owns: (job: string) => boolean;
  readonly jobOf: (job: string) => OwnedJob | undefined;
  /** Whether no other entry can own the shards now. */
  readonly isLeaseHeld: () => boolean;
  /** Whether a job of an owned shard has a durable record that is not ended. */
  readonly isUnfinished: (job: string) => boolean;
  readonly index: RunIndex;
  readonly agentClient: RunAgentClient;
  readonly durations: RunDurationObserver;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
  /** Makes the job's progress durable, then calls back. */
  readonly persist: (job: OwnedJob, onDurable: () => void) => void;
}

/** Reconciles the owner's view of runs with the reports of agents. */
export class JobReconciler {
  /** Local instant of the last call to stop an unwanted run, by its key. */
  private readonly unwantedStopSentAt = new Map<string, number>();

  private readonly crashRecorder: CrashRecorder;
  private readonly silentWorkerRecorder: SilentWorkerRecorder;
  private readonly endingSettler: EndingSettler;

  constructor(private readonly parts: JobReconcilerParts) {
    const isUnneeded = (job: string) => this.isUnneeded(job);
    this.crashRecorder = new CrashRecorder({...parts, isUnneeded});
    const {agentClient, clock, log} = parts;
    this.silentWorkerRecorder = new SilentWorkerRecorder(clock, log);
    this.endingSettler = new EndingSettler(agentClient, clock);
  }

  /**
   * Applies a report. One that was asked for at an instant also shows whether
   * start orders that were no longer valid then were carried out.
   */
  applyReport(agent: FleetAgent, report: WorkerReport, askedAt?: number) {
    const incarnation = report.worker?.life ?? '';
    // Crashes come first, so that no task is due before its crash is known.
    this.crashRecorder.applyReport(agent, report);
    this.silentWorkerRecorder.applyReport(agent, report);
    for (const ending of report.endings)
      this.applyEnding(agent, incarnation, ending);
    const numbers = report.endings.map(one => one.number);
    agent.endings.keepListed(incarnation, numbers);
    for (const {task, run, reason} of report.refusals) {
      this.applyRefusal(agent, task, run, reason);
    }
    for (const status of report.runs) this.applyStatus(agent, report, status);
    if (report.isComplete) this.markUnlistedRunsLost(agent, report, askedAt);
  }

  /** Clears all runs on an agent, since they have certainly ended. */
  markRunsLost(agent: FleetAgent): void {
    for (const task of this.parts.index.tasksOn(agent.name)) {
      this.markRunLost(task, 'agent without contact past its lease');
    }
  }

  /** Asks the agent to stop the run of a task. */
  stop(job: OwnedJob, task: OwnedTask, agent: FleetAgent): void {
    const {run} = task;
    if (!run) return;
    const {clock, index, agentClient} = this.parts;
    const now = clock.now();
    if (now - (run.stopSentAt ?? 0) < STOP_RETRY_MILLISECONDS) return;
    index.set(task, {...run, phase: 'stopping', stopSentAt: now});
    agentClient.stopRun(agent, job.id, task.name, run.run);
  }

  private applyEnding(
    agent: FleetAgent,
    incarnation: string,
    ending: RunEnding,
  ): void {
    const {owns, jobOf} = this.parts;
    const {number} = ending;
    const jobId = TaskName.parseJobId(ending.task);
    if (jobId === undefined || !owns(jobId)) return;
    const state = agent.endings.stateOf(incarnation, number);
    if (state === 'open') return;
    const job = jobOf(jobId);
    if (!job && !this.isUnneeded(jobId)) return;
    const task = job?.reportedTask(ending.task);
    if (state === 'settled' || !job || !task) {
      this.endingSettler.settle(agent, incarnation, jobId, number);
      return;
    }
    agent.endings.open(incarnation, number);
    this.recordEnding(agent, job, task, ending);
    const settle = () =>
      this.endingSettler.settle(agent, incarnation, jobId, number);
    const isDurable = ending.cause === 'done' || ending.cause === 'failed';
    if (isDurable) this.parts.persist(job, settle);
    else settle();
  }

  /**
   * Whether no owner needs the endings of a job that is not among the owned ones.
   * Another entry may have accepted it if this one no longer holds its lease.
   */
  private isUnneeded(job: string): boolean {
    return this.parts.isLeaseHeld() && !this.parts.isUnfinished(job);
  }

  private recordEnding(
    agent: FleetAgent,
    job: OwnedJob,
    task: OwnedTask,
    ending: RunEnding,
  ): void {
    const {index, log, metrics} = this.parts;
    const {cause, run, checkpoint} = ending;
    const fields = {taskId: task.name, run, agent: agent.name, cause};
    log.change('run ending recorded', fields);
    metrics.increment('entry.run_endings', {cause});
    job.markStarted();
    this.parts.durations.ended(job, task, ending);
    if (task.run?.run === run) index.set(task, undefined);
    task.recordCheckpoint(checkpoint, run);
    if (SURVIVED_CAUSES.has(cause)) {
      task.crashes.clearLate();
      this.crashRecorder.recordSurvival(job, task, run);
    }
    if (cause === 'done') this.complete(agent, job, task);
    if (cause === 'failed') this.fail(agent, job, task, ending);
  }

  /** Marks the task or its gang done; a long-running task starts again. */
  private complete(agent: FleetAgent, job: OwnedJob, task: OwnedTask): void {
    agent.failuresInARow = 0;
    if (task.step.isLasting) return;
    const done = task.step.isGang ? job.gangOf(task) : [task];
    for (const one of done) one.isDone = true;
  }

  /** Counts the failure for the task or its gang, and for the worker. */
  private fail(
    agent: FleetAgent,
    job: OwnedJob,
    task: OwnedTask,
    {run}: RunEnding,
  ): void {
    const now = this.parts.clock.now();
    const failed = task.step.isGang ? job.gangOf(task) : [task];
    for (const one of failed) one.recordFailedRun(run);
    task.avoid(agent.name, now + AVOID_MILLISECONDS);
    if (task.step.isLasting) task.notBefore = now + RESTART_MILLISECONDS;
    agent.failuresInARow += 1;
    if (agent.failuresInARow < EJECTION_FAILURE_COUNT) return;
    agent.ejectedUntil = now + EJECTION_MILLISECONDS;
    const {name, failuresInARow} = agent;
    this.parts.log.change('worker ejected', {agent: name, failuresInARow});
  }

  private applyRefusal(
    agent: FleetAgent,
    name: string,
    run: number,
    reason: string,
  ): void {
    const jobId = TaskName.parseJobId(name);
    const task = jobId && this.parts.jobOf(jobId)?.task(name);
    if (!task || task.run?.run !== run) return;
    this.markRunLost(task, `rejected: ${reason}`);
    // A run as high was stopped or has ended there: no fault of the worker.
    if (reason === 'old') return;
    task.avoid(agent.name, this.parts.clock.now() + AVOID_MILLISECONDS);
  }

  private applyStatus(
    agent: FleetAgent,
    report: WorkerReport,
    status: RunStatus,
  ): void {
    const {owns, jobOf} = this.parts;
    const jobId = TaskName.parseJobId(status.task);
    if (jobId === undefined || !owns(jobId)) return;
    const job = jobOf(jobId);
    const task = job?.reportedTask(status.task);
    if (!job || !task || task.isDone) {
      this.stopUnwanted(agent, jobId, status);
      return;
    }
    if (status.phase !== 'starting') job.markStarted();
    const {run} = task;
    const isSame = run?.run === status.run && run.agent === agent.name;
    if (run && !isSame) {
      this.stopUnwanted(agent, jobId, status);
      return;
    }
    task.recordCheckpoint(status.checkpoint, status.run);
    if (!status.isDescribed)
      this.parts.agentClient.describeRun(agent, task, status.run);
    if (status.hasPassedProbation) {
      this.crashRecorder.recordSurvival(job, task, status.run);
      this.silentWorkerRecorder.recordSurvival(task);
    }
    const {index, clock} = this.parts;
    const updated = updatedRun(run, report, status, clock.now());
    if (updated !== run) index.set(task, updated);
    this.parts.durations.observe(task);
  }

  private stopUnwanted(
    agent: FleetAgent,
    jobId: string,
    status: RunStatus,
  ): void {
    const {clock, agentClient, log} = this.parts;
    const {task, run, phase} = status;
    if (phase === 'stopping') return;
    const key = `${agent.name}/${task}#${run}`;
    const now = clock.now();
    if (now - (this.unwantedStopSentAt.get(key) ?? 0) < STOP_RETRY_MILLISECONDS)
      return;
    this.unwantedStopSentAt.set(key, now);
    log.change('unwanted run stopped', {taskId: task, run, agent: agent.name});
    agentClient.stopRun(agent, jobId, task, run);
  }

  /** Marks runs lost that a complete report should list but doesn't. */
  private markUnlistedRunsLost(
    agent: FleetAgent,
    report: WorkerReport,
    askedAt?: number,
  ): void {
    const listed = new Set(report.runs.map(one => `${one.task}#${one.run}`));
    for (const task of this.parts.index.tasksOn(agent.name)) {
      const run = task.run!;
      if (listed.has(`${task.name}#${run.run}`)) continue;
      if (!isUnlistedRunOver(run, report, askedAt)) continue;
      this.silentWorkerRecorder.recordLoss(agent, task, report);
      this.markRunLost(task, 'not listed');
    }
  }

  /** Clears a run that is over without an ending; the task is due again. */
  private markRunLost(task: OwnedTask, reason: string): void {
    const {index, log} = this.parts;
    const {run} = task;
    if (!run) return;
    const fields = {taskId: task.name, run: run.run, agent: run.agent, reason};
    log.change('run lost', fields);
    index.set(task, undefined);
  }
}
