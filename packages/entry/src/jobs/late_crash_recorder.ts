import {
  TaskName,
  type Clock,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import type {FleetAgent} from './fleet_agent.js';
import type {RunIndex} from './run_index.js';

/** Age from which on a run is not blamed for the crash of its worker. */
const MAX_SUSPECT_AGE_MILLISECONDS = 10_000;

interface LateCrashRecorderParts {
  readonly jobOf: (job: string) => OwnedJob | undefined;
  readonly index: RunIndex;
  readonly clock: Clock;
  readonly log: StateLog;
  /** Makes the job's progress durable, then calls back. */
  readonly persist: (job: OwnedJob, onDurable: () => void) => void;
}

/**
 * Records crashes of workers with runs that had passed their probation.
 *
 * Most of these runs are innocent, so only the one that makes its task a suspect
 * is written at once; the others become durable with the job's next write.
 */
export class LateCrashRecorder {
  constructor(private readonly parts: LateCrashRecorderParts) {}

  /** Records the crashes of a report with runs that are still in progress. */
  applyReport(agent: FleetAgent, report: WorkerReport): void {
    for (const life of report.crashedLives ?? []) {
      const tasks = this.parts.index
        .tasksOn(agent.name)
        .filter(({run}) => run!.life === life && run!.phase === 'running');
      for (const task of tasks) this.record(agent, task);
    }
  }

  private record(agent: FleetAgent, task: OwnedTask): void {
    const {jobOf, clock, log, persist} = this.parts;
    const {crashes, name: taskId} = task;
    const {run, life, orderedAt} = task.run!;
    const job = jobOf(TaskName.parseJobId(taskId) ?? '');
    const isKnown = crashes.isLateSuspect || crashes.lateRuns.includes(run);
    if (!job || isKnown) return;
    if (clock.now() - orderedAt >= MAX_SUSPECT_AGE_MILLISECONDS) {
      crashes.clearLate();
      return;
    }
    crashes.recordLate(run);
    this.parts.index.touch(task);
    if (!crashes.isLateSuspect) return;
    const fields = {taskId, run, agent: agent.name, life};
    log.change('workers crashed late with its runs', fields);
    persist(job, () => crashes.markDurable());
  }
}
