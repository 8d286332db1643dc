import type {WorkerHealth} from './worker_health_types.js';

/** Minimum distinct failed tasks of an outlier since its last success. */
const MIN_OUTLIER_FAILURES = 3;
/** An outlier has more failures than this factor times its peers' mean. */
const PEER_FACTOR = 2;
/** Maximum share of the workers ejected at the same time. */
const MAX_EJECTED_SHARE = 0.2;
const INITIAL_EJECTION_MILLISECONDS = 30_000;
const MAX_EJECTION_MILLISECONDS = 600_000;
/** Time after which a probe that is still running counts as a success. */
const PROBE_MILLISECONDS = 30_000;

const HEALTHY: WorkerHealth = {
  failedTasks: new Set(),
  ejectionDeadline: 0,
  ejections: 0,
  probeDeadline: 0,
};

/**
 * Ejects workers whose tasks fail more often than on other workers.
 *
 * A worker is compared with its peers, since a class of tasks that can never
 * run fails everywhere. After the ejection one task probes the worker. If the
 * probe finishes or runs long enough, the worker is healthy again. If it fails,
 * the worker is ejected again for twice as long, up to a maximum.
 */
export class WorkerHealthTracker {
  private readonly workers = new Map<string, WorkerHealth>();

  /** Workers that get no tasks now: ejected ones and those that run a probe. */
  excluded(now: number): ReadonlySet<string> {
    const names = new Set<string>();
    for (const [worker, health] of this.workers) {
      const isEjected = health.ejectionDeadline > now;
      if (isEjected || health.probeDeadline > now) names.add(worker);
    }
    return names;
  }

  /** Whether failures there are attributed to the task, not to the worker. */
  isHealthy(worker: string): boolean {
    return this.healthOf(worker).ejections === 0;
  }

  /**
   * Records a started task.
   *
   * The first one after an ejection is the probe. A start after the deadline of
   * the probe shows that the probe has not failed, so the worker is healthy again.
   */
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

  /** Records that a task finished on the worker. */
  recordSuccess(worker: string): void {
    this.workers.delete(worker);
  }

  /** Records a failed task; ejects an outlier, or a worker under probe. */
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

  /** Removes a worker that is gone. */
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
