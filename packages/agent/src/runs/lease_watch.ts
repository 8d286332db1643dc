import type {Clock} from '@chicoryspring/contracts';
import type {WorkerLease} from './worker_lease.js';

/** Time after which the lease is looked at again, as its end may have changed. */
const CHECK_INTERVAL_MILLISECONDS = 200;
/** Longest delay of a wakeup; beyond it, the process was suspended. */
const MAX_DELAY_MILLISECONDS = 400;
/** Time after a suspension in which a worker can answer. */
const ANSWER_MILLISECONDS = 400;

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
      await this.sleepUntil(this.nextCheck, signal);
      if (this.clock.now() >= this.lease.expiry) this.onExpired();
    }
  }

  /** Local instant at which the lease ends, or is looked at before that. */
  private get nextCheck(): number {
    const now = this.clock.now();
    const next = now + CHECK_INTERVAL_MILLISECONDS;
    const {expiry} = this.lease;
    return expiry > now ? Math.min(expiry, next) : next;
  }

  /** Sleeps longer after a suspension, as answers were not read meanwhile. */
  private async sleepUntil(
    deadline: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleepUntil(deadline, signal);
    const now = this.clock.now();
    if (now - deadline <= MAX_DELAY_MILLISECONDS) return;
    await this.clock.sleepUntil(now + ANSWER_MILLISECONDS, signal);
  }
}
