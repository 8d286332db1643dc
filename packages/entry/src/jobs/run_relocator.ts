import type {Clock} from '@chicoryspring/contracts';
import type {OwnedJob} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {JobReconciler} from './job_reconciler.js';
import type {JobScheduler} from './job_scheduler.js';

/** Time between two checks for runs to relocate. */
const RELOCATION_INTERVAL_MILLISECONDS = 500;
/** Time for which a relocated task avoids its former worker. */
const AVOID_MILLISECONDS = 5_000;

interface RunRelocatorParts {
  readonly agents: FleetAgentDirectory;
  readonly scheduler: JobScheduler;
  readonly reconciler: JobReconciler;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
}

/**
 * Relocates runs that had better run elsewhere: stops them, so that their tasks
 * resume on another worker.
 */
export class RunRelocator {
  private nextCheckAt = 0;

  constructor(private readonly parts: RunRelocatorParts) {}

  /** Relocates runs of the jobs, at most once each interval. */
  relocate(jobs: readonly OwnedJob[]): void {
    const {agents, scheduler, reconciler, clock, log, metrics} = this.parts;
    const now = clock.now();
    if (now < this.nextCheckAt) return;
    this.nextCheckAt = now + RELOCATION_INTERVAL_MILLISECONDS;
    for (const {job, task, agent} of scheduler.relocationCandidates(jobs)) {
      const known = agents.get(agent);
      if (!known) continue;
      task.avoid(agent, now + AVOID_MILLISECONDS);
      const pace = task.run?.pace;
      log.change('run relocated', {taskId: task.name, agent, pace});
      metrics.increment('entry.runs_moved');
      reconciler.stop(job, task, known);
    }
  }
}
