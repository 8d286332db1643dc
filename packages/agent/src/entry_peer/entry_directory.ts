import type {EntryMember} from '@chicoryspring/contracts';
import {
  sumTraffic,
  type Link,
  type LinkTraffic,
  type PeerDialer,
} from '@chicoryspring/links';
import {rendezvousOrder} from '@chicoryspring/shards';

/** The entries that an agent knows, with one dialer for the link to each. */
export class EntryDirectory {
  private readonly dialers = new Map<string, PeerDialer>();
  private preferenceOrder: readonly string[] = [];

  constructor(
    private readonly workerName: string,
    private readonly seedUrls: readonly string[],
    /** Creates the dialer of the entry at a URL. */
    private readonly createDialer: (url: string) => PeerDialer,
    private readonly onConnected: (link: Link) => Promise<void>,
  ) {
    for (const url of seedUrls) this.dial(url);
    this.preferenceOrder = rendezvousOrder(workerName, seedUrls);
  }

  /** Dials the entries of a newer list; closes other links, except to seeds. */
  reconcile(entries: readonly EntryMember[]): void {
    if (entries.length === 0) return;
    const urls = new Set([
      ...this.seedUrls,
      ...entries.map(one => one.linkUrl),
    ]);
    for (const [url, dialer] of this.dialers) {
      if (urls.has(url)) continue;
      dialer.stop();
      this.dialers.delete(url);
    }
    this.add(entries);
  }

  /** Dials the entries of a list that may lack some; closes no link. */
  add(entries: readonly EntryMember[]): void {
    for (const {linkUrl} of entries) this.dial(linkUrl);
    this.preferenceOrder = rendezvousOrder(this.workerName, [
      ...this.dialers.keys(),
    ]);
  }

  /** The open links, the preferred entry first. */
  links(): readonly Link[] {
    return this.preferenceOrder.flatMap(
      url => this.dialers.get(url)?.link ?? [],
    );
  }

  /** Total traffic of the links to all known entries. */
  get traffic(): LinkTraffic {
    const dialers = [...this.dialers.values()];
    return sumTraffic(dialers.map(dialer => dialer.traffic));
  }

  /** Stops every dialer and closes every link. */
  stop(): void {
    for (const dialer of this.dialers.values()) dialer.stop();
  }

  private dial(url: string): void {
    if (this.dialers.has(url)) return;
    const dialer = this.createDialer(url);
    this.dialers.set(url, dialer);
    void dialer.run(this.onConnected);
  }
}
