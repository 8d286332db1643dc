import type {ManagedRun} from './managed_run.js';
import type {ManagedRunTable} from './managed_run_table.js';
import type {RunPermissions} from './run_permissions.js';

/** Lease that each call gives the worker, in milliseconds. */
const LEASE_MILLISECONDS = 6_000;
/** Greatest ratio of the agent's clock rate to the worker's. */
const MAX_CLOCK_RATIO = 1.02;

/** The lease of one incarnation of a worker, which covers all its runs. */
export class WorkerLease {
  /** Local instant at which the lease has certainly expired. */
  private deadline = 0;

  constructor(
    private readonly runs: ManagedRunTable,
    private readonly permissions: RunPermissions,
  ) {}

  /**
   * Extends the lease by a call that is sent now.
   *
   * Returns the length in milliseconds that the call carries. The worker may
   * carry the call out without an answer, so the lease counts as extended.
   */
  extend(now: number): number {
    const latest = now + LEASE_MILLISECONDS * MAX_CLOCK_RATIO;
    this.deadline = Math.max(this.deadline, latest);
    return LEASE_MILLISECONDS;
  }

  /** Whether an owner of a run permits that the lease is extended. */
  isPermitted(now: number): boolean {
    return this.runs.all.some(
      run => (this.permissions.deadlineOf(run.task) ?? 0) > now,
    );
  }

  /** Runs whose owners no longer permit that the lease is extended. */
  unpermittedRuns(now: number): readonly ManagedRun[] {
    return this.runs.all.filter(
      run => (this.permissions.deadlineOf(run.task) ?? Infinity) <= now,
    );
  }

  /** Whether the lease expired at least `margin` milliseconds ago. */
  isExpired(now: number, margin: number): boolean {
    return now >= this.deadline + margin;
  }
}
