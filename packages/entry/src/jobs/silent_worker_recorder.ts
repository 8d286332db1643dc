import type {Clock, WorkerReport} from '@chicoryspring/contracts';
import type {OwnedTask} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import type {FleetAgent} from './fleet_agent.js';

/** Workers that must fall silent under new runs of a task to hold it back. */
const MAX_SILENT_WORKERS = 3;
/** Time for which a task is held back, unless one of the workers answers. */
const HOLD_MILLISECONDS = 120_000;

/**
 * Holds back a task under whose new runs worker after worker falls silent for
 * longer than its lease.
 *
 * Nobody knows whether such a worker has crashed or is only cut off. So the task
 * is not given up, and the suspicion ends as soon as the worker answers: then its
 * agent knows whether it crashed.
 */
export class SilentWorkerRecorder {
  /** By agent, the tasks under which its worker fell silent. */
  private readonly suspects = new Map<string, Set<OwnedTask>>();

  constructor(
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** Ends the suspicion against tasks whose worker answers again. */
  applyReport(agent: FleetAgent, report: WorkerReport): void {
    const tasks = this.suspects.get(agent.name);
    if (!tasks || !report.worker?.isAnswering) return;
    this.suspects.delete(agent.name);
    for (const task of tasks) this.release(task);
  }

  /** Records that the current run of a task is over without an ending. */
  recordLoss(agent: FleetAgent, task: OwnedTask, report: WorkerReport): void {
    const {run, crashes} = task;
    const {worker} = report;
    const isSilent = worker?.life === run?.life && !worker?.isAnswering;
    if (!run || !isSilent || crashes.hasSurvived(run.run)) return;
    const tasks = this.suspects.get(agent.name) ?? new Set();
    this.suspects.set(agent.name, tasks.add(task));
    const silentWorkers = this.silentWorkersOf(task);
    if (silentWorkers < MAX_SILENT_WORKERS) return;
    task.notBefore = this.clock.now() + HOLD_MILLISECONDS;
    this.log.change('task held back', {taskId: task.name, silentWorkers});
  }

  /** Ends the suspicion against a task, since a worker has survived its start. */
  recordSurvival(task: OwnedTask): void {
    for (const tasks of this.suspects.values()) tasks.delete(task);
  }

  private silentWorkersOf(task: OwnedTask): number {
    return [...this.suspects.values()].filter(tasks => tasks.has(task)).length;
  }

  private release(task: OwnedTask): void {
    if (this.silentWorkersOf(task) !== MAX_SILENT_WORKERS - 1) return;
    task.notBefore = this.clock.now();
    this.log.change('task no longer held back', {taskId: task.name});
  }
}
