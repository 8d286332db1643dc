import * as assert from 'uvu/assert';
import {EntryDiscovery, type RunAgent} from '@chicoryspring/agent';
import type {EntryMember} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {MemoryLink} from './memory_link.js';
import type {OwnerFixture} from './owner_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const MINUTE = 60_000;
const TASK = 'j.0.0.0';

/** An agent that discovers entries by itself, and one of its tasks. */
class DiscoveringAgentFixture {
  readonly fleet = new JobFleetFixture();
  readonly worker = new FakeRunWorker(this.fleet.clock, this.fleet.history);
  readonly other = new FakeRunWorker(this.fleet.clock, this.fleet.history);
  /** Reads of the list of entries. */
  reads = 0;
  /** The only entry on a list that is stale; undefined while it is not. */
  staleName: string | undefined;
  private readonly registered = new Map<string, OwnerFixture>();
  private readonly links = new Map<string, MemoryLink>();
  private readonly agent = this.fleet.startAgent('a', this.worker);
  private readonly stopping = new AbortController();

  /** Starts an entry that the agent finds by its discovery only. */
  async startOwner(name: string): Promise<OwnerFixture> {
    const owner = await this.fleet.startOwner(name);
    this.registered.set(name, owner);
    return owner;
  }

  /** Starts the discovery, and a task on the agent's worker. */
  async open(owner: OwnerFixture): Promise<void> {
    const {fleet} = this;
    const agent: RunAgent = this.agent.agent;
    const discovery = new EntryDiscovery(
      {
        links: () => [...this.links.values()].filter(one => one.isOpen),
        reconcile: entries => this.reconcile(entries),
        add: entries => this.linkTo(entries),
      },
      () => this.readEntries(),
      () => agent.isPermittedUnderLease,
      fleet.clock,
      fleet.log,
    );
    void discovery.run(this.stopping.signal);
    await fleet.pass(ROUND_MILLISECONDS);
    const job = fleet.job('j', {isLasting: true});
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.owner.submit(job, deadline));
    await fleet.pass(ROUND_MILLISECONDS);
    assert.ok(this.worker.running.has(TASK));
  }

  /** Lets the second worker join an entry. */
  addOther(owner: OwnerFixture): void {
    const {fleet, other} = this;
    fleet.link(fleet.startAgent('b', other), owner);
  }

  private async readEntries(): Promise<readonly EntryMember[]> {
    this.reads += 1;
    const names = this.staleName ? [this.staleName] : this.registered.keys();
    return [...names].map(name => ({name, linkUrl: name}));
  }

  private reconcile(entries: readonly EntryMember[]): void {
    const names = new Set(entries.map(one => one.name));
    for (const [name, link] of this.links) if (!names.has(name)) link.close();
    this.linkTo(entries);
  }

  private linkTo(entries: readonly EntryMember[]): void {
    for (const {name} of entries) {
      if (this.links.get(name)?.isOpen) continue;
      const owner = this.registered.get(name)!;
      this.links.set(name, this.fleet.link(this.agent, owner));
    }
  }
}

describe('an owner that the linked entries do not know', () => {
  describe('after the lease of one that goes on renewing', test => {
    test('starts nothing that still runs for the earlier owner', async () => {
      const fixture = new DiscoveringAgentFixture();
      const {fleet, worker, other} = fixture;
      const owner = await fixture.startOwner('one');
      await fixture.open(owner);
      owner.enterGracePeriod();
      owner.lapseUnnoticed();
      const next = await fixture.startOwner('two');
      fixture.addOther(next);
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
      assert.is(worker.began.length + other.began.length, 1);
    });
  });

  describe('while the list of entries is stale', test => {
    test('does not cost the link to one that renews without its lease', async () => {
      const fixture = new DiscoveringAgentFixture();
      const {fleet, worker} = fixture;
      const owner = await fixture.startOwner('one');
      await fixture.startOwner('without shards');
      await fixture.open(owner);
      fixture.staleName = 'without shards';
      owner.enterGracePeriod();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.ok(worker.running.has(TASK));
    });
  });

  describe('after the death of one, with another still linked', test => {
    test('gets the agent before its runs have expired', async () => {
      const fixture = new DiscoveringAgentFixture();
      const {fleet, worker} = fixture;
      const owner = await fixture.startOwner('one');
      await fixture.startOwner('without shards');
      await fixture.open(owner);
      owner.kill();
      await fixture.startOwner('two');
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.ok(worker.running.has(TASK));
    });
  });

  describe('while the owners hold their leases', test => {
    test('costs no reads of the list of entries', async () => {
      const fixture = new DiscoveringAgentFixture();
      const owner = await fixture.startOwner('one');
      await fixture.open(owner);
      const {reads} = fixture;
      await fixture.fleet.pass(MINUTE);
      assert.is(fixture.reads, reads);
    });
  });
});
