import type {Clock} from '@chicoryspring/contracts';
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
  constructor(
    private readonly lease: WorkerLease,
    private readonly responsiveness: WorkerResponsiveness,
    private readonly clock: Clock,
    private readonly options: LeaseExtensionOptions,
  ) {}

  /** Length that a renewal sent now asks for; undefined to renew nothing. */
  forRenewal(): number | undefined {
    const now = this.clock.now();
    if (this.responsiveness.isUnresponsive) return undefined;
    for (const run of this.lease.unconfirmedRuns(now)) this.options.stop(run);
    if (!this.lease.hasPermittedRun(now)) return undefined;
    // They hold the lease of the other runs back until they have ended.
    for (const run of this.lease.unpermittedRuns(now)) this.options.stop(run);
    return this.forStart();
  }

  /** Length that a start order sent now carries; undefined for none. */
  forStart(): number | undefined {
    const now = this.clock.now();
    // The lease of an unresponsive worker is not extended, so that it expires.
    const {isUnresponsive} = this.responsiveness;
    if (isUnresponsive || this.options.hasDeregistered()) return undefined;
    if (!this.lease.isPermitted(now)) return undefined;
    return this.lease.extend(now);
  }
}
