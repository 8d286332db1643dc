import type {Clock} from '@chicoryspring/contracts';

/** Time before a draining worker may leave at which its runs are stopped. */
const STOP_LEAD_MILLISECONDS = 700;
/**
 * Time after its deregistration at which the runs of a worker are stopped that
 * goes on. Before that it may register again: the call was one of an earlier
 * incarnation.
 */
const DEREGISTERED_STOP_MILLISECONDS = 1_500;

/**
 * When the runs of a worker that leaves have to be stopped.
 *
 * What still runs when it ends would count as running until its lease expires,
 * since a path that refuses connections looks like a worker that has ended.
 */
export class WorkerDeparture {
  private earliestEnd = Infinity;
  private deregisteredAt: number | undefined;

  constructor(private readonly clock: Clock) {}

  get hasDeregistered(): boolean {
    return this.deregisteredAt !== undefined;
  }

  /** Whether its runs have to be stopped by now. */
  get isStopDue(): boolean {
    const deregistered = this.deregisteredAt ?? Infinity;
    const due = Math.min(
      this.earliestEnd - STOP_LEAD_MILLISECONDS,
      deregistered + DEREGISTERED_STOP_MILLISECONDS,
    );
    return this.clock.now() >= due;
  }

  /** Records a registration; a worker that drains says how long it remains. */
  register(isLeaving: boolean, remainingMilliseconds = Infinity): void {
    // The worker goes on: an earlier incarnation of it had deregistered.
    this.deregisteredAt = undefined;
    this.earliestEnd = isLeaving
      ? this.clock.now() + remainingMilliseconds
      : Infinity;
  }

  deregister(): void {
    this.deregisteredAt ??= this.clock.now();
  }
}
