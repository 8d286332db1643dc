import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';

/** Limits the requests in flight to the connections of the target; FIFO. */
export class ConnectionSemaphore {
  private readonly waiting = new Set<() => void>();
  private acquired = 0;

  constructor(
    private readonly connections: number,
    private readonly clock: Clock,
  ) {}

  /** Resolves once a connection is free; throws at the deadline. */
  async acquire(deadline: number): Promise<void> {
    if (this.acquired < this.connections) this.acquired += 1;
    else await this.wait(deadline);
  }

  /** Frees a connection, for the request that has waited longest if any. */
  release(): void {
    const [next] = this.waiting;
    if (next) next();
    else this.acquired -= 1;
  }

  private async wait(deadline: number): Promise<void> {
    const admitted = new AbortController();
    const admit = () => {
      this.waiting.delete(admit);
      admitted.abort();
    };
    this.waiting.add(admit);
    await this.clock.sleepUntil(deadline, admitted.signal);
    if (admitted.signal.aborted) return;
    this.waiting.delete(admit);
    throw new ChicoryspringError('deadline-passed', 'no connection was free');
  }
}
