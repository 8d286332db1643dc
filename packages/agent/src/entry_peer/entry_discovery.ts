import {
  toChicoryspringError,
  type Clock,
  type EntryMember,
} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {EntryDirectory} from './entry_directory.js';

/** Time between two discoveries of entries while none is linked. */
const UNLINKED_INTERVAL_MILLISECONDS = 400;
/** Time between two discoveries while there may be a later owner. */
const LATER_OWNER_INTERVAL_MILLISECONDS = 2_000;

/**
 * Discovers the registered entries for an agent that may not know all.
 *
 * Linked entries tell it of others as long as they reach the store. An owner
 * that doesn't may have been replaced by an entry that they don't know.
 */
export class EntryDiscovery {
  private discoveredAt = -Infinity;

  constructor(
    private readonly entries: Pick<
      EntryDirectory,
      'links' | 'reconcile' | 'add'
    >,
    /** Lists the registered entries. */
    private readonly discover: () => Promise<readonly EntryMember[]>,
    /** Whether no owner that the agent knows can have been replaced. */
    private readonly areOwnersCurrent: () => boolean,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** The background loop. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isDue) await this.discoverOnce();
      const next = this.clock.now() + UNLINKED_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  private get isDue(): boolean {
    if (this.entries.links().length === 0) return true;
    const due = this.discoveredAt + LATER_OWNER_INTERVAL_MILLISECONDS;
    return !this.areOwnersCurrent() && this.clock.now() >= due;
  }

  private async discoverOnce(): Promise<void> {
    this.discoveredAt = this.clock.now();
    try {
      const found = await this.discover();
      // A stale list lacks entries that are linked already.
      if (this.entries.links().length > 0) this.entries.add(found);
      else this.entries.reconcile(found);
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      this.log.change('entry discovery failed', {kind, message});
    }
  }
}
