import type {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import type {LinkLiveness} from './link_liveness_types.js';

/** Age of the last answered ping after which the link counts as lost. */
const SILENCE_MILLISECONDS = 3_000;

/** Liveness at the dialing end, which pings the peer. */
export class PingingLinkLiveness implements LinkLiveness {
  /** When the last answered ping was sent. */
  private answeredPing: number;
  private lastPing: number;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    /** Time before the link was opened, so before the peer sent anything. */
    openedAfter: number,
    /** Minimum time between two pings. */
    private readonly pingMilliseconds: number,
  ) {
    this.answeredPing = openedAfter;
    this.lastPing = openedAfter;
  }

  get earliestSendTime(): number {
    return this.answeredPing;
  }

  async run(closed: AbortSignal): Promise<void> {
    this.socket.on('pong', () => (this.answeredPing = this.lastPing));
    while (!closed.aborted) {
      this.pingOnceAnswered();
      const next = this.clock.now() + this.pingMilliseconds;
      await this.clock.sleepUntil(next, closed);
      if (this.isSilent()) this.socket.terminate();
    }
  }

  private pingOnceAnswered(): void {
    if (this.answeredPing < this.lastPing) return;
    this.lastPing = this.clock.now();
    this.socket.ping(() => undefined);
  }

  private isSilent(): boolean {
    return this.clock.now() - this.answeredPing >= SILENCE_MILLISECONDS;
  }
}
