import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {LeaseGrant} from './lease_grant_types.js';
import type {ManagedRun} from './managed_run.js';
import type {WorkerLease} from './worker_lease.js';
import type {WorkerResponsiveness} from './worker_responsiveness.js';

interface LeaseExtensionOptions {
  /** Whether the worker has deregistered. */
  readonly hasDeregistered: () => boolean;
  /** Stops a run that holds back the lease of the others. */
  readonly stop: (run: ManagedRun) => void;
}

/** Decides with each call to a worker whether it extends the worker's lease. */
export class LeaseExtension {
  /** Why the last call did not extend the lease, if it didn't. */
  private lastReason: string | undefined;

  constructor(
    private readonly lease: WorkerLease,
    private readonly responsiveness: WorkerResponsiveness,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly options: LeaseExtensionOptions,
  ) {}

  /** What a renewal sent now carries; undefined to renew nothing. */
  forRenewal(): LeaseGrant | undefined {
    const now = this.clock.now();
    if (this.responsiveness.isUnresponsive) return this.forStart();
    for (const run of this.lease.unconfirmedRuns(now)) this.options.stop(run);
    if (!this.lease.hasPermittedRun(now)) return undefined;
    // They hold the lease of the other runs back until they have ended.
    for (const run of this.lease.unpermittedRuns(now)) this.options.stop(run);
    return this.forStart();
  }

  /** What a start order sent now carries; undefined for none. */
  forStart(): LeaseGrant | undefined {
    const now = this.clock.now();
    const reason = this.reasonAgainst(now);
    this.logChange(reason);
    return reason === undefined ? this.lease.extend(now) : undefined;
  }

  /** Sends a call that carries a grant; one that was not sent extends nothing. */
  async send<T>(
    grant: LeaseGrant | undefined,
    call: () => Promise<T>,
  ): Promise<T> {
    if (!grant) return await call();
    try {
      const answer = await call();
      this.lease.recordSent(grant);
      return answer;
    } catch (thrown) {
      if (isUnsent(thrown)) this.lease.recordUnsent(grant);
      else this.lease.recordSent(grant);
      throw thrown;
    }
  }

  /** Why the lease must not be extended, if it must not. */
  private reasonAgainst(now: number): string | undefined {
    // The lease of an unresponsive worker is not extended, so that it expires.
    if (this.responsiveness.isUnresponsive) return 'unresponsive';
    if (this.options.hasDeregistered()) return 'deregistered';
    return this.lease.isPermitted(now) ? undefined : 'no permission';
  }

  private logChange(reason: string | undefined): void {
    if (reason === this.lastReason) return;
    this.lastReason = reason;
    this.log.change('lease extension', {reason: reason ?? 'none against it'});
  }
}

/** Whether a call failed since its connection was refused. */
function isUnsent(thrown: unknown): boolean {
  return toChicoryspringError(thrown).kind === 'worker-unreachable';
}
