import type {Clock} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
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

  /** Length that a renewal sent now asks for; undefined to renew nothing. */
  forRenewal(): number | undefined {
    const now = this.clock.now();
    if (this.responsiveness.isUnresponsive) return this.forStart();
    for (const run of this.lease.unconfirmedRuns(now)) this.options.stop(run);
    if (!this.lease.hasPermittedRun(now)) return undefined;
    // They hold the lease of the other runs back until they have ended.
    for (const run of this.lease.unpermittedRuns(now)) this.options.stop(run);
    return this.forStart();
  }

  /** Length that a start order sent now carries; undefined for none. */
  forStart(): number | undefined {
    const now = this.clock.now();
    const reason = this.reasonAgainst(now);
    this.logChange(reason);
    return reason === undefined ? this.lease.extend(now) : undefined;
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
