import type {StateLog} from '@chicoryspring/observability';
import type {EndingList} from './ending_list.js';
import type {LeaseGrant} from './lease_grant_types.js';
import type {ManagedRun} from './managed_run.js';
import type {ManagedRunTable} from './managed_run_table.js';
import type {RunPermissions} from './run_permissions.js';

/** Lease that each call gives the worker, in milliseconds. */
const LEASE_MILLISECONDS = 6_000;
/** Greatest ratio of the agent's clock rate to that of a worker 2% slow. */
const MAX_CLOCK_RATIO = 1 / 0.98;
/** Time for which an agent may be wrong about the worker's clock. */
const EXPIRY_MARGIN_MILLISECONDS = 400;
/**
 * Time after the end of a run permission for which the next one is waited for
 * before the run is stopped for the sake of others on the worker.
 */
const STOP_DELAY_MILLISECONDS = 500;
/** Time in which the owner of a run that was found has to make contact. */
const FIRST_CONTACT_MILLISECONDS = 2_500;
/**
 * Time beyond that in which the next run permission takes over an order whose
 * start isn't confirmed.
 */
const UNCONFIRMED_MILLISECONDS = 3_000;

/** The lease of one incarnation of a worker, which covers all its runs. */
export class WorkerLease {
  /** Latest end of the lease by the calls that the worker may have got. */
  private sentDeadline: number;

  /** What the calls carry of which it isn't known yet whether they were sent. */
  private readonly pendingGrants = new Set<LeaseGrant>();

  /** Local instant until which owners may make their first contact. */
  private readonly firstContactDeadline: number;

  /** Task whose owner holds the extension back, if any. */
  private holdingBack: string | undefined;

  constructor(
    private readonly runs: ManagedRunTable,
    private readonly endings: EndingList,
    private readonly permissions: RunPermissions,
    private readonly log: StateLog,
    now: number,
  ) {
    // An earlier incarnation of the agent may have extended it just now.
    this.sentDeadline = latestDeadline(now);
    this.firstContactDeadline = now + FIRST_CONTACT_MILLISECONDS;
  }

  /** Local instant at which a lease has expired that nobody extended since. */
  static expiryOf(extendedAt: number): number {
    return latestDeadline(extendedAt) + EXPIRY_MARGIN_MILLISECONDS;
  }

  /** Local instant at which the lease has expired unless it is extended. */
  get expiry(): number {
    return this.deadline + EXPIRY_MARGIN_MILLISECONDS;
  }

  /**
   * Extends the lease by a call that is sent now.
   *
   * The worker may carry the call out without an answer, so the lease counts as
   * extended at once, unless the call turns out not to have been sent.
   */
  extend(now: number): LeaseGrant {
    const deadline = latestDeadline(now);
    const grant = {milliseconds: LEASE_MILLISECONDS, deadline};
    this.pendingGrants.add(grant);
    return grant;
  }

  /** Records that the worker may have got the call. */
  recordSent(grant: LeaseGrant): void {
    this.pendingGrants.delete(grant);
    this.sentDeadline = Math.max(this.sentDeadline, grant.deadline);
  }

  /** Records that the call was not sent, so that it has extended nothing. */
  recordUnsent(grant: LeaseGrant): void {
    this.pendingGrants.delete(grant);
  }

  /**
   * Whether the owners permit that the lease is extended.
   *
   * Every owner counts on the lease to end once its permission has: for its
   * runs, and for the endings that it may not have heard of.
   */
  isPermitted(now: number): boolean {
    if (now >= this.expiry) this.endings.recordLeaseExpiry();
    const holdingBack = this.tasks.find(
      task => !this.permissions.isPermitted(task, now),
    );
    this.logChange(holdingBack);
    return holdingBack === undefined;
  }

  /** Whether the owner of any run permits that the lease is extended. */
  hasPermittedRun(now: number): boolean {
    return this.runs.all.some(run =>
      this.permissions.isPermitted(run.task, now),
    );
  }

  /**
   * Runs whose owners no longer permit that the lease is extended, or have made
   * no contact in time.
   */
  unpermittedRuns(now: number): readonly ManagedRun[] {
    return this.runs.all.filter(run => this.stopDeadlineOf(run) <= now);
  }

  /**
   * Those of them that the worker may not have, so that none lapses there. Until
   * they have ended, they keep others out.
   */
  unconfirmedRuns(now: number): readonly ManagedRun[] {
    const unpermitted = this.unpermittedRuns(now - UNCONFIRMED_MILLISECONDS);
    return unpermitted.filter(({phase}) => phase === 'starting');
  }

  /** Local instant at which the lease has certainly expired. */
  private get deadline(): number {
    const pending = [...this.pendingGrants].map(({deadline}) => deadline);
    return Math.max(this.sentDeadline, ...pending);
  }

  /** Tasks whose owners must permit an extension. */
  private get tasks(): readonly string[] {
    const covered = [...this.runs.all, ...this.endings.coveredByLease];
    return covered.map(one => one.task);
  }

  private stopDeadlineOf({task}: ManagedRun): number {
    const deadline = this.permissions.deadlineOf(task);
    if (deadline === undefined) return this.firstContactDeadline;
    return deadline + STOP_DELAY_MILLISECONDS;
  }

  private logChange(holdingBack: string | undefined): void {
    if (holdingBack === this.holdingBack) return;
    this.holdingBack = holdingBack;
    const event = holdingBack ? 'lease held back' : 'lease extended again';
    this.log.change(event, {taskId: holdingBack});
  }
}

/** Latest end of a lease that was extended then. */
function latestDeadline(extendedAt: number): number {
  return extendedAt + LEASE_MILLISECONDS * MAX_CLOCK_RATIO;
}
