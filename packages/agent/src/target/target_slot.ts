import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import {TargetClient} from './target_client.js';
import type {TargetAnnouncement} from './target_announcement_types.js';

/** Time without an announcement after which a target gets no requests. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 3_000;

/**
 * The target next to an agent: at most one, and available only while it
 * announces itself.
 */
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

  /** Records an announcement; returns whether it differs from the last one. */
  register(announcement: TargetAnnouncement): boolean {
    this.announcementDeadline =
      this.clock.now() + ANNOUNCEMENT_TIMEOUT_MILLISECONDS;
    const known = JSON.stringify(this.announcement);
    if (known === JSON.stringify(announcement)) return false;
    void this.client?.close();
    this.client = new TargetClient(announcement, this.clock);
    return true;
  }

  /** Removes the target; the caller closes the returned client. */
  deregister(): TargetClient | undefined {
    const leaving = this.client;
    this.client = undefined;
    return leaving;
  }

  /** Waits for the requests in flight, then closes the connections. */
  async close(): Promise<void> {
    await this.client?.close();
  }

  /** The client for a service; throws `no-target` if none is live. */
  clientFor(service: string): TargetClient {
    const isLive = this.clock.now() < this.announcementDeadline;
    if (isLive && this.client?.announcement.service === service) {
      return this.client;
    }
    throw new ChicoryspringError('no-target', `no target of ${service} here`);
  }
}
