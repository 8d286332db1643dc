import {
  LeaseDeadline,
  toChicoryspringError,
  type Clock,
  type EntryMember,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import {
  ConfigurationPublisher,
  ConfigurationReader,
  ActiveConfiguration,
  type ConfigurationRevision,
  type ConfigurationSource,
} from '@chicoryspring/configuration';
import type {OwnershipView} from '@chicoryspring/shards';
import {NoOpStateLog, type StateLog} from '@chicoryspring/observability';
import {
  Backoff,
  type Store,
  type StoreChange,
  type StoreRange,
} from '@chicoryspring/store';
import type {ConfigurationOrigin} from './configuration_origin_types.js';
import {FleetValues} from './fleet_values.js';
import {ENTRIES_PREFIX} from './live_keys.js';
import {ownerCandidates} from './owner_candidates.js';

const LIVE_PREFIX = '/chicoryspring/live/';
const INITIAL_DELAY_MILLISECONDS = 100;
const MAX_DELAY_MILLISECONDS = 1_000;
/** Interval of the reads that confirm the newest revision. */
const CONFIRM_INTERVAL_MILLISECONDS = 400;
/** Time for which one confirmation permits work to start. */
const FRESHNESS_MILLISECONDS = 1_500;

/**
 * Local view of the store: entries, shard owners and configuration.
 *
 * One watch follows all of it. A watch can stop reporting without an error, so
 * everything is also read at short intervals. If such a read finds a change
 * that the watch has not reported by the next read, the watch is restarted.
 * Only these reads permit work to start, for a time counted from before the
 * read was sent.
 */
export class LiveState {
  readonly configuration = new ActiveConfiguration();
  private readonly values: FleetValues;
  /** A confirmation counts like a lease: not while the machine is suspended. */
  private readonly freshness: LeaseDeadline;
  /** Start of the unbroken contact: no confirmation has expired since. */
  private contactStart = 0;
  /** Newest store revision that the values include. */
  private knownRevision = 0;
  /** Number of messages of all watches so far. */
  private watchMessages = 0;
  /**
   * Number of watch messages when the last read found an unreported change;
   * undefined when it found none.
   */
  private messagesWhenWatchBehind: number | undefined;
  private currentWatch = new AbortController();
  private stalledWatchRestarts = 0;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly onConfigurationChange: (
      origin: ConfigurationOrigin,
    ) => void,
    private readonly onFleetChange: () => void,
    private readonly source: ConfigurationSource = new ConfigurationReader(
      store,
    ),
    private readonly log: StateLog = new NoOpStateLog(),
    timeOfDay: () => number = () => Date.now(),
  ) {
    this.freshness = new LeaseDeadline(clock, timeOfDay);
    this.values = new FleetValues(log);
  }

  static entryKey(name: string): string {
    return `${ENTRIES_PREFIX}${name}`;
  }

  get entries(): readonly EntryMember[] {
    return [...this.values.members.values()];
  }

  /** Whether a value is stored for the entry that does not register it. */
  isUnreadable(name: string): boolean {
    return this.values.isUnreadable(LiveState.entryKey(name));
  }

  get fleet(): OwnershipView {
    const {owners, members} = this.values;
    const entries = [...members.keys()];
    const candidates = ownerCandidates(this.entries);
    return {entries, candidates, owners};
  }

  /** Scheduling parameters of a queue's jobs; undefined without the queue. */
  schedulingParametersOf(name: string): SchedulingParameters | undefined {
    return this.configuration.find('Queue', name)?.spec;
  }

  /** Names of the entries that own a shard, each once. */
  get shardOwners(): readonly string[] {
    return [...new Set(this.values.owners.values())];
  }

  ownerOf(shard: number): string | undefined {
    return this.values.owners.get(shard);
  }

  /** Time for which work may still start; 0 when this state may be stale. */
  get remainingFreshMilliseconds(): number {
    return Math.max(0, this.freshness.remainingMilliseconds);
  }

  /** Local instant until which the last confirmation counts. */
  get confirmedUntil(): number {
    return this.freshness.steadyInstant;
  }

  /**
   * Local instant at which the last confirmation was sent, so that this state is at
   * least as new; undefined when it may be stale.
   */
  get confirmedAt(): number | undefined {
    if (!this.freshness.isHeld) return undefined;
    const remaining = this.freshness.remainingMilliseconds;
    return this.clock.now() + remaining - FRESHNESS_MILLISECONDS;
  }

  /** Whether the store was ever read; the state stays in use in an outage. */
  get hasSynced(): boolean {
    return this.knownRevision > 0;
  }

  /** Number of watches that were ended because they stopped reporting. */
  get stalledWatchCount(): number {
    return this.stalledWatchRestarts;
  }

  /** Time of unbroken contact with the store; 0 without contact. */
  get contactMilliseconds(): number {
    return this.freshness.isHeld ? this.clock.now() - this.contactStart : 0;
  }

  /** Background loop: reads the store and applies the changes of a watch. */
  async run(signal: AbortSignal): Promise<void> {
    void this.confirmFreshness(signal);
    void this.source.follow?.(
      one => this.applyConfiguration(one, 'watch'),
      signal,
    );
    const backoff = this.createBackoff();
    while (!signal.aborted) {
      this.currentWatch = new AbortController();
      const until = AbortSignal.any([signal, this.currentWatch.signal]);
      try {
        const revision = await this.readAll();
        backoff.reset();
        const changes = this.store.watch(LIVE_PREFIX, revision + 1, until);
        for await (const batch of changes) await this.applyChanges(batch);
      } catch (thrown) {
        // The state that was read before stays in use.
        this.logFailure('store watch failed', thrown);
      }
      await this.pause(backoff.next(), signal);
    }
  }

  /** Reads and applies the newest configuration of the store. */
  async refreshConfiguration(): Promise<void> {
    this.applyConfiguration(await this.source.read(), 'read');
  }

  private applyConfiguration(
    revision: ConfigurationRevision,
    origin: ConfigurationOrigin,
  ): void {
    if (this.configuration.adopt(revision)) this.onConfigurationChange(origin);
  }

  private async readAll(): Promise<number> {
    const range = await this.store.readPrefix(LIVE_PREFIX);
    this.replaceAll(range);
    // A source that is followed reads by itself; its documents can be large.
    if (!this.source.follow) await this.tryRefresh();
    return range.revision;
  }

  /**
   * Refreshes the configuration. After a failure the confirmation tries again,
   * and permits no work until then; entries and owners are followed meanwhile.
   */
  private async tryRefresh(): Promise<void> {
    try {
      await this.refreshConfiguration();
    } catch (thrown) {
      this.logFailure('configuration not refreshed', thrown);
    }
  }

  /** Replaces the whole state; returns whether that changed anything. */
  private replaceAll(range: StoreRange): boolean {
    if (range.revision < this.knownRevision) return false;
    this.knownRevision = range.revision;
    if (!this.values.replaceAll(range.values)) return false;
    this.onFleetChange();
    return true;
  }

  private async applyChanges(changes: readonly StoreChange[]): Promise<void> {
    this.watchMessages += 1;
    const newer = changes.filter(one => one.revision > this.knownRevision);
    for (const {key, value, revision} of newer) {
      this.values.set(key, value);
      this.knownRevision = revision;
    }
    const headKey = ConfigurationPublisher.headKey;
    if (newer.some(one => one.key !== headKey)) this.onFleetChange();
    if (newer.some(one => one.key === headKey)) await this.tryRefresh();
  }

  /** Background loop: confirms the newest revision at short intervals. */
  private async confirmFreshness(signal: AbortSignal): Promise<void> {
    const backoff = this.createBackoff();
    while (!signal.aborted) {
      const sending = this.freshness.now();
      let delay = CONFIRM_INTERVAL_MILLISECONDS;
      try {
        await this.confirmOnce();
        if (!this.freshness.isHeld) this.contactStart = sending.steadyInstant;
        this.freshness.renew(sending, FRESHNESS_MILLISECONDS);
        backoff.reset();
      } catch (thrown) {
        // Without a confirmation the start permission expires.
        this.logFailure('store read failed', thrown);
        delay = backoff.next();
      }
      await this.pause(delay, signal);
    }
  }

  private async confirmOnce(): Promise<void> {
    const range = await this.store.readPrefix(LIVE_PREFIX);
    this.endStalledWatch();
    const before = this.watchMessages;
    this.messagesWhenWatchBehind = this.replaceAll(range) ? before : undefined;
    const headKey = ConfigurationPublisher.headKey;
    const found = range.values.find(one => one.key === headKey);
    const newest = found?.revision ?? 0;
    const isBehind = newest > this.configuration.current.revision;
    if (isBehind) await this.refreshConfiguration();
  }

  /** Ends the watch if it still has not reported what the last read found. */
  private endStalledWatch(): void {
    if (this.messagesWhenWatchBehind !== this.watchMessages) return;
    this.messagesWhenWatchBehind = undefined;
    this.stalledWatchRestarts += 1;
    this.currentWatch.abort();
  }

  private logFailure(event: string, thrown: unknown): void {
    const {kind, message} = toChicoryspringError(thrown);
    const {contactMilliseconds} = this;
    this.log.change(event, {kind, message, contactMilliseconds});
  }

  private createBackoff(): Backoff {
    return new Backoff(INITIAL_DELAY_MILLISECONDS, MAX_DELAY_MILLISECONDS);
  }

  private async pause(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}
