import type {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import type {LinkLiveness} from './link_liveness_types.js';

const CHECK_MILLISECONDS = 1_000;
/** Time without a ping of the peer at which the link counts as lost. */
const SILENCE_MILLISECONDS = 3_000;

/**
 * The accepting end: the pings of the peer say that it is there.
 *
 * It sends none of its own, which would double the messages of an idle link.
 * For this reason it also never learns that a message was sent late.
 */
export class AnsweringLinkLiveness implements LinkLiveness {
  private lastPing: number;

  constructor(
    private readonly socket: WebSocket,
    private readonly clock: Clock,
    readonly earliestSendTime: number,
  ) {
    this.lastPing = earliestSendTime;
  }

  async run(closed: AbortSignal): Promise<void> {
    this.socket.on('ping', () => (this.lastPing = this.clock.now()));
    while (!closed.aborted) {
      const next = this.clock.now() + CHECK_MILLISECONDS;
      await this.clock.sleepUntil(next, closed);
      if (this.isSilent()) this.socket.terminate();
    }
  }

  private isSilent(): boolean {
    return this.clock.now() - this.lastPing >= SILENCE_MILLISECONDS;
  }
}
