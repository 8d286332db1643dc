import type {Clock, EntryMember, WorkerLoad} from '@chicoryspring/contracts';
import type {StartPermission} from '@chicoryspring/failure-domains';
import {agentHeartbeatMethod, type Link} from '@chicoryspring/links';

const HEARTBEAT_INTERVAL_MILLISECONDS = 700;
/** Time for an entry to answer a heartbeat before the next one is tried. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 400;

/**
 * Renews the start permission of an agent by heartbeats.
 *
 * Each heartbeat tries one entry after another, the preferred one first, until
 * one gives a permission.
 */
export class StartPermissionRenewer {
  constructor(
    private readonly workerName: string,
    private readonly permission: StartPermission,
    private readonly links: () => readonly Link[],
    private readonly load: () => WorkerLoad,
    private readonly onEntries: (entries: readonly EntryMember[]) => void,
    private readonly clock: Clock,
  ) {}

  /** The background loop, which runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const next = this.clock.now() + HEARTBEAT_INTERVAL_MILLISECONDS;
      for (const link of this.links()) {
        if (await this.heartbeat(link)) break;
      }
      await this.clock.sleepUntil(next, signal);
    }
  }

  /**
   * Sends a heartbeat; returns whether the entry gave a permission.
   *
   * The permission counts from before the heartbeat was sent.
   */
  private async heartbeat(link: Link): Promise<boolean> {
    const sentAt = this.clock.now();
    const {revision} = this.permission;
    const input = {worker: this.workerName, revision, load: this.load()};
    const limit = sentAt + HEARTBEAT_TIMEOUT_MILLISECONDS;
    try {
      const result = await link.call(agentHeartbeatMethod, input, limit);
      const deadline = sentAt + result.permissionMilliseconds;
      this.permission.extend(result.revision, result.domainsOut, deadline);
      this.onEntries(result.entries);
      return result.permissionMilliseconds > 0;
    } catch {
      return false;
    }
  }
}
