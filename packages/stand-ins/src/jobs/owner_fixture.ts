import type {Clock} from '@chicoryspring/contracts';
import {JobOwner} from '@chicoryspring/entry/jobs/job_owner.js';
import {serveRunAgents} from '@chicoryspring/entry/jobs/run_agent_methods.js';
import type {EarlierOwnerBounds} from '@chicoryspring/entry/membership/earlier_owner_bounds_types.js';
import {LinkMethodRegistry} from '@chicoryspring/links';
import {NoOpMetrics} from '@chicoryspring/observability';
import {ShardKeys, ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {JobFleetFixture} from './job_fleet_fixture.js';
import {ProcessSuspension} from './process_suspension.js';

const SHARDS = 2;
const ALL_SHARDS = Array.from({length: SHARDS}, (_, shard) => shard);
/** Owner, as one entry sees it, of a shard that it must not acquire. */
const NOT_ACQUIRED = 'not acquired';
const LEASE_MILLISECONDS = 600_000;
/** Every earlier owner knows the next one. */
const KNOWN_OWNERS: EarlierOwnerBounds = {
  latestProofOf: (_, gainedAt) => gainedAt,
  unawareOf: () => [],
};

/** The part of a configuration that an owner tells the agents. */
interface OwnerConfiguration {
  readonly configurationRevision: number;
  readonly domainsOut: () => readonly string[];
}

/** One entry under test: its jobs, its shards and its lease. */
export class OwnerFixture {
  readonly registry = new LinkMethodRegistry();
  readonly table: ShardTable;
  readonly owner: JobOwner;
  private readonly stopping = new AbortController();
  private lease = '';
  private isLeaseHeld = true;
  private isInGracePeriod = false;
  /** Local instant at which the store ended the lease; undefined before. */
  private lapsedAt: number | undefined;
  /** What it knows of the configuration; undefined to follow the fleet's. */
  private keptConfiguration: OwnerConfiguration | undefined;
  /** Age of the last proof that no other entry owns the shards. */
  private proofAgeMilliseconds = 0;

  /**
   * The entry may reach the store in another way than the fleet does, and have
   * a clock of its own.
   */
  constructor(
    private readonly fleet: JobFleetFixture,
    private readonly name: string,
    ownStore: Store,
    random: () => number,
    readonly clock: Clock,
    readonly suspension = new ProcessSuspension(),
  ) {
    this.table = new ShardTable(ownStore, clock, {
      entryName: name,
      shardCount: SHARDS,
      random,
      isOwnerKept: true,
      onGained: (records, shard) => this.owner.shardGained(shard, records),
      onLost: (_, shard) => this.owner.shardLost(shard),
    });
    this.owner = this.createOwner(ownStore);
  }

  /** Starts the background loops and owns the shards that have no owner. */
  async start(shards: readonly number[] = ALL_SHARDS): Promise<void> {
    serveRunAgents(this.owner, () => [], this.registry);
    void this.table.run();
    void this.owner.run(this.stopping.signal);
    await this.grantLease();
    await this.fleet.run(this.acquire(shards));
  }

  kill(): void {
    this.noticeLoss();
    this.stopping.abort();
    this.table.stop();
    this.lapseUnnoticed();
  }

  /** Ends the lease in the store, which the entry does not notice. */
  lapseUnnoticed(): void {
    this.fleet.store.expireLeaseNow(this.lease);
    this.lapsedAt ??= this.clock.now();
  }

  /** Makes the entry take its lease for lost; it keeps its shards. */
  loseLease(): void {
    this.isLeaseHeld = false;
  }

  /** Makes the entry get each answer of the store that late. */
  delayProof(milliseconds: number): void {
    this.proofAgeMilliseconds = milliseconds;
  }

  /** Makes the entry count its lease as held again, by a prompt answer. */
  regainLease(): void {
    this.isLeaseHeld = true;
    this.proofAgeMilliseconds = 0;
  }

  /** Makes the entry renew without its lease, as while the store is away. */
  enterGracePeriod(): void {
    this.isLeaseHeld = false;
    this.isInGracePeriod = true;
  }

  /** Makes the entry notice that its lease has ended. */
  noticeLoss(): void {
    this.isLeaseHeld = false;
    this.table.dropAll();
  }

  /** Makes the entry learn of no later configuration. */
  keepConfiguration(): void {
    const {configurationRevision, domainsOut} = this.fleet;
    this.keptConfiguration = {configurationRevision, domainsOut};
  }

  /** Whether it is registered, so that it may own shards. */
  get isMember(): boolean {
    return this.isLeaseHeld;
  }

  /** Makes the entry lose the shard that does not hold the job. */
  loseOtherShard(job: string): void {
    this.owner.shardLost((this.table.shardOf(job) + 1) % SHARDS);
  }

  /** Registers again under a new lease, without any shard. */
  async registerAgain(): Promise<void> {
    this.lapseUnnoticed();
    this.table.dropAll();
    this.isLeaseHeld = true;
    this.lapsedAt = undefined;
    await this.grantLease();
  }

  /** Registers again and owns every shard that has no owner. */
  async winBack(): Promise<void> {
    await this.registerAgain();
    await this.fleet.run(this.acquire());
  }

  /** Acquires those of the shards that have no owner. */
  async acquire(shards: readonly number[] = ALL_SHARDS): Promise<void> {
    const {name} = this;
    const owners = this.ownersInStore();
    for (const shard of ALL_SHARDS) {
      if (!shards.includes(shard)) owners.set(shard, NOT_ACQUIRED);
    }
    const view = {entries: [name], candidates: [name], owners};
    await this.table.reconcileOwnership(view, this.lease);
  }

  /**
   * Acquires those of the shards that have no owner, and releases the others.
   * A shard whose release failed is acquired again first.
   */
  async keepOnly(shards: readonly number[]): Promise<void> {
    const {name} = this;
    const keyed = [...this.ownersInStore()].filter(one => one[1] === name);
    await this.acquire([...shards, ...keyed.map(([shard]) => shard)]);
    const owners = this.ownersInStore();
    for (const shard of ALL_SHARDS) {
      if (!shards.includes(shard)) owners.set(shard, NOT_ACQUIRED);
    }
    const entries = [name, NOT_ACQUIRED];
    const view = {entries, candidates: entries, owners};
    await this.table.reconcileOwnership(view, this.lease);
  }

  /** The owner of each owned shard, as the store has it. */
  private ownersInStore(): Map<number, string> {
    const owners = this.fleet.store.peek(ShardKeys.owners);
    return new Map(
      owners.map(({key, value}) => [
        Number(key.slice(ShardKeys.owners.length)),
        value,
      ]),
    );
  }

  private async grantLease(): Promise<void> {
    const {store} = this.fleet;
    this.lease = (await store.grantLease(LEASE_MILLISECONDS)).id;
  }

  private createOwner(store: Store): JobOwner {
    const {clock} = this;
    const {log, queue, terms} = this.fleet;
    return new JobOwner({
      entryName: this.name,
      store,
      clock,
      log,
      metrics: new NoOpMetrics(),
      table: () => this.table,
      ownership: () => ({
        isHeld: this.isLeaseHeld,
        mayRenew: this.isLeaseHeld || this.isInGracePeriod,
        provenAt: this.lapsedAt ?? clock.now() - this.proofAgeMilliseconds,
        previousOwnerRenewalMilliseconds: 0,
      }),
      earlierOwners: KNOWN_OWNERS,
      termsOf: name => (name === queue ? terms : undefined),
      configurationRevision: () => this.configuration.configurationRevision,
      domainsOut: () => this.configuration.domainsOut(),
    });
  }

  private get configuration(): OwnerConfiguration {
    return this.keptConfiguration ?? this.fleet;
  }
}
