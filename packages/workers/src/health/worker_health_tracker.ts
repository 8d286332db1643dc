import type {WorkerHealth} from './worker_health_types.js';

/** Different tasks in a row whose failure makes a worker suspect. */
const MIN_OUTLIER_FAILURES = 3;
/** Factor over the mean of its peers from which a suspect is the fault. */
const PEER_FACTOR = 2;
/** Largest share of the workers that is ejected at once. */
const MAX_EJECTED_SHARE = 0.2;
const INITIAL_EJECTION_MILLISECONDS = 30_000;
const MAX_EJECTION_MILLISECONDS = 600_000;
/** Time after which a probe that still runs counts as a success. */
const PROBE_MILLISECONDS = 30_000;

const HEALTHY: WorkerHealth = {
  failedTasks: new Set(),
  ejectionDeadline: 0,
  ejections: 0,
  probeDeadline: 0,
};

/**
 * Ejects workers that fail what they start.
 *
 * A worker is compared with its peers, since a class of tasks that can never
 * run fails everywhere. After the ejection one task probes the worker: its end
 * or its long life returns the worker, its failure ejects it again for longer.
 */
export class WorkerHealthTracker {
  private readonly workers = new Map<string, WorkerHealth>();

  /** Workers on which nothing is placed now. */
  excluded(now: number): ReadonlySet<string> {
    const names = new Set<string>();
    for (const [worker, health] of this.workers) {
      const isEjected = health.ejectionDeadline > now;
      if (isEjected || health.probeDeadline > now) names.add(worker);
    }
    return names;
  }

  /** Whether failures there say something of the task and not of the worker. */
  isHealthy(worker: string): boolean {
    return this.healthOf(worker).ejections === 0;
  }

  /** Notes a start; the first one after an ejection is the probe. */
  recordStart(worker: string, now: number): void {
    const health = this.healthOf(worker);
    if (health.ejections === 0 || health.ejectionDeadline > now) return;
    if (health.probeDeadline > 0 && health.probeDeadline <= now) {
      this.workers.delete(worker);
      return;
    }
    const probeDeadline = now + PROBE_MILLISECONDS;
    this.workers.set(worker, {...health, probeDeadline});
  }

  /** Notes that a task ran to its end. */
  recordSuccess(worker: string): void {
    this.workers.delete(worker);
  }

  /** Notes a failed task; ejects the worker when it is the fault. */
  recordFailure(
    worker: string,
    taskId: string,
    now: number,
    fleetSize: number,
  ): void {
    const health = this.healthOf(worker);
    const failedTasks = new Set([...health.failedTasks, taskId]);
    this.workers.set(worker, {...health, failedTasks});
    const isProbe = health.probeDeadline > 0;
    if (isProbe || this.isOutlier(worker, now, fleetSize))
      this.eject(worker, now);
  }

  /** Forgets a worker that is gone. */
  forget(worker: string): void {
    this.workers.delete(worker);
  }

  private isOutlier(worker: string, now: number, fleetSize: number): boolean {
    const ownFailures = this.healthOf(worker).failedTasks.size;
    if (ownFailures < MIN_OUTLIER_FAILURES) return false;
    const maxEjected = Math.max(1, Math.floor(fleetSize * MAX_EJECTED_SHARE));
    if (fleetSize < 2 || this.ejectedCount(now) >= maxEjected) return false;
    let allFailures = 0;
    for (const health of this.workers.values()) {
      allFailures += health.failedTasks.size;
    }
    return (
      ownFailures >
      (PEER_FACTOR * (allFailures - ownFailures)) / (fleetSize - 1)
    );
  }

  private ejectedCount(now: number): number {
    const all = [...this.workers.values()];
    return all.filter(one => one.ejectionDeadline > now).length;
  }

  private eject(worker: string, now: number): void {
    const {ejections} = this.healthOf(worker);
    const duration = Math.min(
      MAX_EJECTION_MILLISECONDS,
      INITIAL_EJECTION_MILLISECONDS * 2 ** ejections,
    );
    this.workers.set(worker, {
      failedTasks: new Set(),
      ejectionDeadline: now + duration,
      ejections: ejections + 1,
      probeDeadline: 0,
    });
  }

  private healthOf(worker: string): WorkerHealth {
    return this.workers.get(worker) ?? HEALTHY;
  }
}
