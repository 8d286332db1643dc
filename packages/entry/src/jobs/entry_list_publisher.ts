import type {Clock, EntryMember} from '@chicoryspring/contracts';
import {entriesKnownMethod, type Link} from '@chicoryspring/links';
import {rendezvousOrder} from '@chicoryspring/shards';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';

/** Entries that tell an agent of a change; a single one may not know of it. */
const PUBLISHERS_PER_AGENT = 3;
/** Time for which changes are collected, as entries start together. */
const BATCH_MILLISECONDS = 200;

/**
 * Tells linked agents of the registered entries when these have changed.
 *
 * Each agent hears it from a few entries, by rendezvous hashing, so that what an
 * entry sends at a change does not grow with the number of entries.
 */
export class EntryListPublisher {
  private latest: readonly EntryMember[] = [];
  private isPending = false;
  private readonly lastSent = new WeakMap<Link, string>();

  constructor(
    private readonly entryName: string,
    private readonly agents: FleetAgentDirectory,
    private readonly clock: Clock,
  ) {}

  /** Publishes a list, together with others that follow at once. */
  async publish(entries: readonly EntryMember[]): Promise<void> {
    this.latest = entries;
    if (this.isPending) return;
    this.isPending = true;
    await this.clock.sleepUntil(this.clock.now() + BATCH_MILLISECONDS);
    this.isPending = false;
    this.sendToAll();
  }

  private sendToAll(): void {
    const entries = this.latest;
    const content = JSON.stringify(entries);
    const names = entries.map(({name}) => name);
    for (const {name, link} of this.agents.all) {
      if (!link?.isOpen || !this.isPublisherFor(name, names)) continue;
      if (this.lastSent.get(link) === content) continue;
      this.lastSent.set(link, content);
      link.notify(entriesKnownMethod, {entries});
    }
  }

  private isPublisherFor(agent: string, names: readonly string[]): boolean {
    const publishers = rendezvousOrder(agent, names);
    return publishers.slice(0, PUBLISHERS_PER_AGENT).includes(this.entryName);
  }
}
