import {setMaxListeners} from 'node:events';
import {EntryOwnership} from '@chicoryspring/entry/membership/entry_ownership.js';
import {EntryPeers} from '@chicoryspring/entry/entries/entry_peers.js';
import {serveOwnershipMethods} from '@chicoryspring/entry/entries/ownership_methods.js';
import {JobOwner} from '@chicoryspring/entry/jobs/job_owner.js';
import {serveRunAgents} from '@chicoryspring/entry/jobs/run_agent_methods.js';
import {LiveState} from '@chicoryspring/entry/live_state/live_state.js';
import {LinkMethodRegistry} from '@chicoryspring/links';
import {NoOpMetrics} from '@chicoryspring/observability';
import {ShardTable} from '@chicoryspring/shards';
import type {JobFleetFixture} from '../jobs/job_fleet_fixture.js';
import {MemoryDialer} from './memory_dialer.js';
import type {MemoryNetwork} from './memory_network.js';
import {PartialStore} from './partial_store.js';

const SHARDS = 2;

/**
 * One process of an entry, with its real membership, grace period and owner of
 * jobs, over a store that may turn it away.
 */
export class OutageEntry {
  readonly registry = new LinkMethodRegistry();
  readonly clock;
  readonly store: PartialStore;
  readonly owner: JobOwner;
  readonly ownership: EntryOwnership;
  readonly live: LiveState;
  readonly table: ShardTable;
  private readonly peers: EntryPeers;
  private readonly stopping = new AbortController();

  constructor(
    private readonly fleet: JobFleetFixture,
    private readonly network: MemoryNetwork,
    readonly name: string,
  ) {
    const {clock} = fleet;
    this.clock = clock;
    this.store = new PartialStore(fleet.store, clock);
    this.live = this.createLiveState();
    this.table = this.createTable();
    this.peers = new EntryPeers(
      name,
      clock,
      url => new MemoryDialer(network, this, url),
    );
    this.ownership = this.createOwnership();
    this.owner = this.createOwner();
  }

  get url(): string {
    return `ws://${this.name}`;
  }

  start(): void {
    const {signal} = this.stopping;
    // Many loops listen to this signal: no leak to warn of.
    setMaxListeners(0, signal);
    const {live, ownership, registry} = this;
    serveRunAgents(this.owner, () => live.entries, registry);
    serveOwnershipMethods(this, registry);
    this.network.listen(this.url, this);
    void live.run(signal);
    ownership.run(signal);
    void this.table.run();
    void this.owner.run(signal);
  }

  /** Ends the process at once. */
  kill(): void {
    this.stopping.abort();
    this.table.stop();
    this.peers.stop();
    this.network.end(this);
    this.store.end();
  }

  /** Whether it owns the shard of a job under its lease. */
  owns(job: string): boolean {
    return this.ownership.current.isHeld && this.table.owns(job);
  }

  private createLiveState(): LiveState {
    const {clock, fleet, store} = this;
    return new LiveState(
      store,
      clock,
      () => undefined,
      () => this.applyFleetChange(),
      undefined,
      fleet.log,
      () => clock.now(),
    );
  }

  private applyFleetChange(): void {
    this.peers.reconcile(this.live.entries);
    this.owner.broadcastEntries(this.live.entries);
    this.ownership.membership.notify();
  }

  private createTable(): ShardTable {
    return new ShardTable(this.store, this.clock, {
      entryName: this.name,
      shardCount: SHARDS,
      ownerGroupCount: 1,
      isOwnerKept: true,
      onGained: (records, shard) => this.owner.shardGained(shard, records),
      onLost: (_, shard) => this.owner.shardLost(shard),
    });
  }

  private createOwnership(): EntryOwnership {
    const {name, url: linkUrl, store, clock, live, table, peers} = this;
    return new EntryOwnership({
      member: {name, linkUrl},
      store,
      clock,
      live,
      table,
      peers,
      log: this.fleet.log,
      unawareOwners: () => this.owner.unawareOwners,
      onGraceBegin: () => this.owner.renewPermissions(),
      timeOfDay: () => clock.now(),
    });
  }

  private createOwner(): JobOwner {
    const {log, queue, terms} = this.fleet;
    return new JobOwner({
      entryName: this.name,
      store: this.store,
      clock: this.clock,
      log,
      metrics: new NoOpMetrics(),
      table: () => this.table,
      ownership: () => this.ownership.current,
      earlierOwners: this.ownership.earlierOwners,
      termsOf: name => (name === queue ? terms : undefined),
      configurationRevision: () => this.fleet.configurationRevision,
      domainsOut: () => this.fleet.domainsOut(),
    });
  }
}
