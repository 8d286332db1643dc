import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import {TargetClient} from './target_client.js';
import type {TargetAnnouncement} from './target_announcement_types.js';

/** Time without an announcement after which a target counts as gone. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 3_000;

/** The one target beside an agent, while it announces itself. */
export class TargetSlot {
  private client: TargetClient | undefined;
  private announcementDeadline = 0;

  constructor(private readonly clock: Clock) {}

  get announcement(): TargetAnnouncement | undefined {
    return this.client?.announcement;
  }

  get requestsInFlight(): number {
    return this.client?.requestsInFlight ?? 0;
  }

  /** Takes in an announcement; true when it differs from the known one. */
  register(announcement: TargetAnnouncement): boolean {
    this.announcementDeadline = this.clock.now() + ANNOUNCEMENT_TIMEOUT_MILLISECONDS;
    const known = JSON.stringify(this.announcement);
    if (known === JSON.stringify(announcement)) return false;
    void this.client?.close();
    this.client = new TargetClient(announcement, this.clock);
    return true;
  }

  /** Empties the slot; the result closes once its requests are complete. */
  deregister(): TargetClient | undefined {
    const leaving = this.client;
    this.client = undefined;
    return leaving;
  }

  /** Completes the requests in progress and closes the connections. */
  async close(): Promise<void> {
    await this.client?.close();
  }

  /** The target of a service, or `no-target`. */
  clientFor(service: string): TargetClient {
    const isLive = this.clock.now() < this.announcementDeadline;
    if (isLive && this.client?.announcement.service === service) {
      return this.client;
    }
    throw new ChicoryspringError('no-target', `no target of ${service} here`);
  }
}
