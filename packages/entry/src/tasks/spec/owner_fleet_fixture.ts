import {ActiveConfiguration} from '@chicoryspring/configuration';
import type {Task} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ShardKeys, ShardTable} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {ManualClock} from '@chicoryspring/testing';
import {AgentPeerDirectory} from '../../agents/agent_peer_directory.js';
import {TaskOwner} from '../task_owner.js';
import {TaskPlacer} from '../task_placer.js';
import {TaskRecords} from '../task_records.js';
import {FakeAgent} from './fake_agent.js';
import {FakeLink} from './fake_link.js';
import type {LinkFault} from './link_fault_types.js';

const SHARDS = 2;
const LEASE_MILLISECONDS = 100_000;
const RESOURCES = {processors: 4, memoryMebibytes: 4_096, accelerators: 0};

/** One entry that owns tasks, and whether it holds its lease. */
class OwnerFixture {
  readonly agents = new AgentPeerDirectory(() => undefined);
  readonly records: TaskRecords;
  readonly owner: TaskOwner;
  readonly table: ShardTable;
  isHeld = true;
  private lease: string | undefined;
  /** Local instant at which the store ended the lease; undefined before. */
  private lapsedAt: number | undefined;

  constructor(
    name: string,
    private readonly fleet: OwnerFleetFixture,
  ) {
    const {clock, store} = fleet;
    this.records = new TaskRecords(() => this.table, clock);
    this.table = new ShardTable(store, clock, {
      entryName: name,
      shardCount: SHARDS,
      onGained: records => this.owner.shardGained(records),
      onLost: records => this.owner.shardLost(records),
      random: () => 1,
    });
    const configuration = new ActiveConfiguration();
    this.owner = new TaskOwner(
      name,
      this.records,
      this.agents,
      new TaskPlacer(
        this.agents.workerIndex,
        () => configuration,
        clock,
        () => 0,
      ),
      clock,
      () => ({
        isHeld: this.isHeld,
        mayRenew: this.isHeld,
        provenAt: this.lapsedAt ?? clock.now(),
        previousOwnerRenewalMilliseconds: 0,
      }),
    );
    for (const agent of fleet.agents) this.link(agent);
    void this.table.run();
    void this.owner.run(fleet.stopping.signal);
  }

  /** Acquires and releases shards by the owners in the store. */
  async reconcile(): Promise<void> {
    const {store, members} = this.fleet;
    if (!this.isHeld) return;
    this.lease ??= (await store.grantLease(LEASE_MILLISECONDS)).id;
    const owners = new Map(
      store
        .peek(ShardKeys.owners)
        .map(({key, value}) => [Number(key.slice(-4)), value]),
    );
    const view = {entries: members, candidates: members, owners};
    await this.table.reconcileOwnership(view, this.lease);
  }

  /** Ends the lease both at the entry and in the store. */
  expireLease(): void {
    this.isHeld = false;
    if (this.lease) this.fleet.store.expireLeaseNow(this.lease);
  }

  /** Ends the lease in the store, which the entry does not notice. */
  lapseUnnoticed(): void {
    this.lapsedAt ??= this.fleet.clock.now();
    if (this.lease) this.fleet.store.expireLeaseNow(this.lease);
  }

  /** Closes the link to the agent of a worker for good. */
  unlink(worker: string): void {
    this.agents.get(worker)?.link.close();
  }

  /** Drops the shards of the expired lease; the entry registers again. */
  recover(): void {
    if (this.isHeld) return;
    this.lease = undefined;
    this.lapsedAt = undefined;
    this.table.dropAll();
    this.isHeld = true;
  }

  private link(agent: FakeAgent): void {
    const {clock} = this.fleet;
    const link = new FakeLink(agent, clock, () => this.fleet.nextLinkFault());
    const announcement = {
      worker: agent.worker,
      failureDomain: 'kinangop',
      rack: 'rack-1',
      capacity: RESOURCES,
      slots: 0,
      running: [],
      draining: false,
    };
    this.agents.recordAnnouncement(announcement, link as unknown as Link);
  }
}

/** Owners, agents and a store in one process, with scheduled faults. */
export class OwnerFleetFixture {
  readonly clock = new ManualClock();
  readonly stopping = new AbortController();
  readonly store: MemoryStore;
  readonly agents: readonly FakeAgent[];
  readonly owners: readonly OwnerFixture[];
  members: readonly string[] = ['one', 'two'];
  isFaultFree = true;
  private storeCalls = 0;
  private linkCalls = 0;

  constructor(
    private readonly storeFaults: readonly MemoryStoreFault[],
    private readonly linkFaults: readonly LinkFault[],
  ) {
    const none = {kind: 'none', requestMilliseconds: 0, replyMilliseconds: 0};
    this.store = new MemoryStore(this.clock, () => {
      const position = this.storeCalls++ % this.storeFaults.length;
      return this.isFaultFree
        ? (none as MemoryStoreFault)
        : this.storeFaults[position]!;
    });
    this.agents = ['w1', 'w2', 'w3'].map(
      name => new FakeAgent(name, this.clock),
    );
    this.owners = this.members.map(name => new OwnerFixture(name, this));
  }

  nextLinkFault(): LinkFault {
    const position = this.linkCalls++ % this.linkFaults.length;
    if (this.isFaultFree) return {kind: 'none', milliseconds: 0};
    return this.linkFaults[position]!;
  }

  reconcileAll(): void {
    for (const owner of this.owners) {
      void owner.reconcile().catch(() => undefined);
    }
  }

  /** Reports endings to the owners of the tasks, as the agents do. */
  reportEndings(): void {
    for (const agent of this.agents) {
      for (const ending of agent.endings) this.reportEnding(agent, ending);
    }
  }

  /** Tasks that run on more than one worker at this instant. */
  get duplicated(): readonly string[] {
    const running = this.agents.flatMap(agent => agent.running);
    return running.filter((task, position) =>
      running.slice(0, position).includes(task),
    );
  }

  completions(taskId: string): number {
    return this.agents.reduce(
      (sum, agent) => sum + (agent.completed.get(taskId) ?? 0),
      0,
    );
  }

  task(id: string): Task {
    return {
      id,
      caller: 'rangers',
      team: 'trust',
      kind: 'run',
      taskClass: 'reconcile',
      urgent: false,
      resources: {processors: 1, memoryMebibytes: 1, accelerators: 0},
      idempotencyKey: id,
      input: '',
    };
  }

  private reportEnding(
    agent: FakeAgent,
    ending: {readonly taskId: string; readonly epoch: number},
  ): void {
    const {worker} = agent;
    const owner = this.owners.find(one => one.table.owns(ending.taskId));
    void owner?.owner
      .recordEnding({...ending, worker, result: 'finished'})
      .then(() => agent.acknowledge(ending.taskId))
      .catch(() => undefined);
  }
}
