import type {ChicoryspringError, Clock} from '@chicoryspring/contracts';

/** Time without an answer after which a worker gets no new runs or leases. */
const TIMEOUT_MILLISECONDS = 1_500;
/** Consecutive refused connections that show that the worker has exited. */
const MAX_CONNECTION_REFUSALS = 3;

/** What the answers of a worker, and their absence, show of its state. */
export class WorkerContact {
  private answeredAt: number;
  private refusedConnections = 0;

  constructor(private readonly clock: Clock) {
    this.answeredAt = clock.now();
  }

  get isUnresponsive(): boolean {
    return this.clock.now() - this.answeredAt >= TIMEOUT_MILLISECONDS;
  }

  /** Whether the last calls found nothing that listens at the address. */
  get isRefused(): boolean {
    return this.refusedConnections > 0;
  }

  /** Whether so many connections were refused that the worker has exited. */
  get hasExited(): boolean {
    return this.refusedConnections >= MAX_CONNECTION_REFUSALS;
  }

  recordAnswer(): void {
    this.answeredAt = this.clock.now();
    this.refusedConnections = 0;
  }

  recordFailure(error: ChicoryspringError): void {
    const isRefused = error.kind === 'worker-unreachable';
    this.refusedConnections = isRefused ? this.refusedConnections + 1 : 0;
  }
}
