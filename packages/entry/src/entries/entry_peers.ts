import {
  ChicoryspringError,
  type Clock,
  type EntryMember,
} from '@chicoryspring/contracts';
import {
  entryForwardMethod,
  entryIntroducedMethod,
  entryRelayMethod,
  type Link,
  type PeerDialer,
} from '@chicoryspring/links';

/** Added to a call's deadline, so that an answer given at it can arrive. */
const REPLY_MARGIN_MILLISECONDS = 250;

/** Age of the last answered ping after which an entry is unresponsive. */
const UNRESPONSIVE_MILLISECONDS = 1_200;

/** An entry as it is registered, and the dialer that keeps the link open. */
interface DialedEntry {
  readonly member: EntryMember;
  readonly dialer: PeerDialer;
}

/** The other entries; one background loop keeps the link to each open. */
export class EntryPeers {
  private readonly dialers = new Map<string, DialedEntry>();

  constructor(
    readonly ownName: string,
    private readonly clock: Clock,
    /** Creates the dialer of the entry at a link URL. */
    private readonly createDialer: (linkUrl: string) => PeerDialer,
  ) {}

  /** Dials the entries of a newer list and closes the links to all others. */
  reconcile(entries: readonly EntryMember[]): void {
    const others = entries.filter(entry => entry.name !== this.ownName);
    const names = new Set(others.map(entry => entry.name));
    for (const entry of others) this.dial(entry);
    for (const [name, {dialer}] of this.dialers) {
      if (names.has(name)) continue;
      dialer.stop();
      this.dialers.delete(name);
    }
  }

  /** Open links to the other entries. */
  get links(): readonly Link[] {
    return [...this.dialers.values()].flatMap(({dialer}) => dialer.link ?? []);
  }

  /** Links to every other entry; undefined when one is not linked. */
  get linksToAll(): readonly Link[] | undefined {
    const {links} = this;
    return links.length === this.dialers.size ? links : undefined;
  }

  /** The open link to the named entry. */
  linkTo(entry: string): Link | undefined {
    return this.dialers.get(entry)?.dialer.link;
  }

  /** Number of the other entries, linked or not. */
  get entryCount(): number {
    return this.dialers.size;
  }

  /** Names of the entries that answered a ping recently. */
  get responsiveEntries(): readonly string[] {
    return [...this.dialers.keys()].filter(name => this.responsiveLink(name));
  }

  /** Runs an operation at the named entry, which owns its record. */
  async forward(
    entry: string,
    operation: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const method = entryForwardMethod;
    return await this.callEntry(entry, method, operation, input, deadline);
  }

  /** Runs an operation through the named entry, which forwards it. */
  async relay(
    entry: string,
    operation: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const method = entryRelayMethod;
    return await this.callEntry(entry, method, operation, input, deadline);
  }

  stop(): void {
    for (const {dialer} of this.dialers.values()) dialer.stop();
  }

  private async callEntry(
    entry: string,
    method: typeof entryForwardMethod,
    operation: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const link = this.responsiveLink(entry);
    if (!link) {
      const message = `${entry} is unresponsive or not linked`;
      throw new ChicoryspringError('peer-unreachable', message);
    }
    const remainingMilliseconds = deadline - this.clock.now();
    const forwarded = {operation, input, remainingMilliseconds};
    return await link.call(
      method,
      forwarded,
      deadline + REPLY_MARGIN_MILLISECONDS,
    );
  }

  private responsiveLink(entry: string): Link | undefined {
    const link = this.linkTo(entry);
    const isUnresponsive =
      this.clock.now() - (link?.earliestSendTime ?? 0) >
      UNRESPONSIVE_MILLISECONDS;
    return isUnresponsive ? undefined : link;
  }

  private dial(entry: EntryMember): void {
    const {name, linkUrl} = entry;
    const known = this.dialers.get(name);
    if (known?.member.linkUrl === linkUrl) {
      this.dialers.set(name, {member: entry, dialer: known.dialer});
      if (known.member.registration !== entry.registration)
        this.introduce(name, known.dialer.link);
      return;
    }
    known?.dialer.stop();
    const dialer = this.createDialer(linkUrl);
    this.dialers.set(name, {member: entry, dialer});
    void dialer.run(async link => this.introduce(name, link));
  }

  /** Tells an entry that this one knows its registration. */
  private introduce(name: string, link: Link | undefined): void {
    const registration = this.dialers.get(name)?.member.registration;
    if (registration === undefined) return;
    const introduction = {entry: this.ownName, registration};
    link?.notify(entryIntroducedMethod, introduction);
  }
}
