import type {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import type {LinkLiveness} from './link_liveness_types.js';

/** Age of the last answered ping after which the link counts as lost. */
const PING_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Liveness at the dialing end, which pings the peer and terminates the link
 * when its pings are not answered in time.
 */
export class DialerLinkLiveness implements LinkLiveness {
  /** When the last answered ping was sent. */
  private answeredPingTime: number;
  private lastPingTime: number;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    /** Time before the link was opened, so before the peer sent anything. */
    openedAfter: number,
    /** Minimum time between two pings. */
    private readonly pingIntervalMilliseconds: number,
  ) {
    this.answeredPingTime = openedAfter;
    this.lastPingTime = openedAfter;
  }

  get earliestSendTime(): number {
    return this.answeredPingTime;
  }

  async run(closed: AbortSignal): Promise<void> {
    this.socket.on('pong', () => this.recordPong());
    while (!closed.aborted) {
      this.pingIfAnswered();
      const next = this.clock.now() + this.pingIntervalMilliseconds;
      await this.clock.sleepUntil(next, closed);
      if (this.hasTimedOut()) this.socket.terminate();
    }
  }

  /** Counts the pong once the messages that came before it are handled. */
  private recordPong(): void {
    const sentAt = this.lastPingTime;
    setImmediate(() => (this.answeredPingTime = sentAt));
  }

  private pingIfAnswered(): void {
    if (this.answeredPingTime < this.lastPingTime) return;
    this.lastPingTime = this.clock.now();
    this.socket.ping(() => undefined);
  }

  private hasTimedOut(): boolean {
    return (
      this.clock.now() - this.answeredPingTime >= PING_TIMEOUT_MILLISECONDS
    );
  }
}
