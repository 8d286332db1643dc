import type {Clock} from '@chicoryspring/contracts';
import type {WorkerLease} from './worker_lease.js';

/** Time after which a lease that has expired is looked at again. */
const CHECK_INTERVAL_MILLISECONDS = 200;

/** Watches a worker's lease for its end, also while a call has no answer. */
export class LeaseWatch {
  constructor(
    private readonly lease: Pick<WorkerLease, 'expiry'>,
    private readonly clock: Clock,
    /** Called when the lease has expired, and again until it is extended. */
    private readonly onExpired: () => void,
  ) {}

  /** The background loop. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const nextCheck = this.clock.now() + CHECK_INTERVAL_MILLISECONDS;
      const instant = Math.max(this.lease.expiry, nextCheck);
      await this.clock.sleepUntil(instant, signal);
      if (this.clock.now() >= this.lease.expiry) this.onExpired();
    }
  }
}
