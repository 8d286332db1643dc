import type {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import type {LinkLiveness} from './link_liveness_types.js';

const CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Time without a ping of the peer after which the link counts as lost. */
const PING_TIMEOUT_MILLISECONDS = 3_000;

/**
 * Liveness at the accepting end, which relies on the pings of the peer.
 *
 * It sends no pings of its own, which would double the messages of an idle
 * link. It can therefore not bound the send time of messages any later than
 * the opening of the link.
 */
export class AcceptorLinkLiveness implements LinkLiveness {
  private lastPingTime: number;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    readonly earliestSendTime: number,
  ) {
    this.lastPingTime = earliestSendTime;
  }

  async run(closed: AbortSignal): Promise<void> {
    this.socket.on('ping', () => (this.lastPingTime = this.clock.now()));
    while (!closed.aborted) {
      const next = this.clock.now() + CHECK_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, closed);
      if (this.hasTimedOut()) this.socket.terminate();
    }
  }

  private hasTimedOut(): boolean {
    return this.clock.now() - this.lastPingTime >= PING_TIMEOUT_MILLISECONDS;
  }
}
