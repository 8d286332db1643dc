import {
  toChicoryspringError,
  type Clock,
  type EntryMember,
} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {EntryDirectory} from './entry_directory.js';

/** Time between two discoveries of entries while none is linked. */
const DISCOVERY_INTERVAL_MILLISECONDS = 400;

/** Discovers the registered entries for an agent while none is linked. */
export class EntryDiscovery {
  constructor(
    private readonly entries: Pick<EntryDirectory, 'links' | 'reconcile'>,
    /** Lists the registered entries. */
    private readonly discover: () => Promise<readonly EntryMember[]>,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** The background loop. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.entries.links().length === 0) await this.discoverOnce();
      const next = this.clock.now() + DISCOVERY_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  private async discoverOnce(): Promise<void> {
    try {
      this.entries.reconcile(await this.discover());
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      this.log.change('entry discovery failed', {kind, message});
    }
  }
}
