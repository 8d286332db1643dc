import {RunAgent} from '@chicoryspring/agent';
import type {
  Job,
  JobStep,
  SchedulingParameters,
} from '@chicoryspring/contracts';
import {JobOwner} from '@chicoryspring/entry/jobs/job_owner.js';
import {serveRunAgents} from '@chicoryspring/entry/jobs/run_agent_methods.js';
import {LinkMethodRegistry} from '@chicoryspring/links';
import {NoOpMetrics, NoOpStateLog} from '@chicoryspring/observability';
import {ShardKeys, ShardTable} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock} from '@chicoryspring/testing';
import type {FakeRunWorker} from './fake_run_worker.js';
import {MemoryLink} from './memory_link.js';

const STEP_MILLISECONDS = 20;
const SHARDS = 2;
const LEASE_MILLISECONDS = 600_000;
const TERMS: SchedulingParameters = {
  service: 'service',
  priority: 0,
  attempts: 2,
  slackFactor: 2,
  objectiveMilliseconds: 1_000,
};
const STEP: JobStep = {
  count: 1,
  resources: {processors: 1, memoryMebibytes: 100, accelerators: 0},
  estimateMilliseconds: 1_000,
  after: [],
  isCheckpointable: true,
  isGang: false,
  isSameRack: false,
  isSpeculative: false,
  isLasting: false,
  isFilling: false,
};

/** Owners of jobs and agents in one process, over one store in memory. */
export class JobFleetFixture {
  readonly clock = new ManualClock();
  /** Time from each call of the store to its effect. */
  storeDelayMilliseconds = 0;
  readonly store = new MemoryStore(this.clock, () => ({
    kind: 'none',
    requestMilliseconds: this.storeDelayMilliseconds,
    replyMilliseconds: 0,
  }));
  readonly log = new NoOpStateLog();
  /** Parameters of the only queue, and their revision, at every owner. */
  readonly terms = TERMS;
  readonly configurationRevision = 5;

  /** A job whose steps differ from a plain one as given. */
  job(id: string, ...steps: readonly Partial<JobStep>[]): Job {
    const all = steps.map(step => ({...STEP, ...step}));
    return {id, queue: 'queue', spec: 'spec', steps: all};
  }

  /** An entry that owns every shard from now on. */
  async startOwner(name: string) {
    const {clock, store, log} = this;
    const registry = new LinkMethodRegistry();
    const stopping = new AbortController();
    const ownership = {isHeld: true};
    const table: ShardTable = new ShardTable(store, clock, {
      entryName: name,
      shardCount: SHARDS,
      onGained: (records, shard) => owner.shardGained(shard, records),
      onLost: (_, shard) => owner.shardLost(shard),
    });
    const owner = new JobOwner({
      store,
      clock,
      log,
      metrics: new NoOpMetrics(),
      table: () => table,
      ownership: () => ({
        isHeld: ownership.isHeld,
        mayRenew: ownership.isHeld,
        previousOwnerRenewalMilliseconds: 0,
      }),
      contactMilliseconds: () => 60_000,
      termsOf: queue => (queue === 'queue' ? TERMS : undefined),
      configurationRevision: () => this.configurationRevision,
      domainsOut: () => [],
    });
    serveRunAgents(owner, () => [], registry);
    void table.run();
    void owner.run(stopping.signal);
    const lease = (await store.grantLease(LEASE_MILLISECONDS)).id;
    const kill = () => {
      ownership.isHeld = false;
      stopping.abort();
      table.dropAll();
      table.stop();
      store.expireLeaseNow(lease);
    };
    await this.run(this.settle(table, name, lease));
    const lapseUnnoticed = () => store.expireLeaseNow(lease);
    const loseLease = () => (ownership.isHeld = false);
    const winBack = async () => {
      store.expireLeaseNow(lease);
      table.dropAll();
      const next = (await store.grantLease(LEASE_MILLISECONDS)).id;
      await this.run(this.settle(table, name, next));
    };
    /** Loses the shard that does not hold the job. */
    const loseOtherShard = (job: string) =>
      owner.shardLost((table.shardOf(job) + 1) % SHARDS);
    return {
      owner,
      registry,
      kill,
      lapseUnnoticed,
      loseLease,
      loseOtherShard,
      winBack,
    };
  }

  /** An agent with a worker, linked to the owners. */
  startAgent(name: string, worker: FakeRunWorker, life = `${name}@1`) {
    const {clock, log} = this;
    const registry = new LinkMethodRegistry();
    const stopping = new AbortController();
    const agent = new RunAgent(name, () => NO_DIRECTORY, clock, log);
    agent.serve(registry);
    void agent.run(stopping.signal);
    const description = {
      worker: name,
      life,
      service: 'service',
      failureDomain: 'domain',
      labels: ['a'],
      capacity: {processors: 4, memoryMebibytes: 4_000, accelerators: 0},
      isLeaving: false,
      isAnswering: true,
    };
    void agent.registerWorker(description, () => worker);
    const kill = () => {
      stopping.abort();
      void agent.deregisterWorker();
    };
    return {agent, registry, kill};
  }

  /** Links an agent to an owner, and returns the agent's end. */
  link(
    agent: {readonly agent: RunAgent; readonly registry: LinkMethodRegistry},
    owner: {readonly registry: LinkMethodRegistry},
  ): MemoryLink {
    const ends = MemoryLink.pair(this.clock, agent.registry, owner.registry);
    void agent.agent.join(ends[0]);
    return ends[0];
  }

  /** Lets time pass in small steps. */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
  }

  /** Lets time pass until the work has ended. */
  async run<T>(work: Promise<T>): Promise<T> {
    let isEnded = false;
    const ended = work.finally(() => (isEnded = true));
    ended.catch(() => undefined);
    while (!isEnded) await this.clock.advance(STEP_MILLISECONDS);
    return await ended;
  }

  private async settle(
    table: ShardTable,
    name: string,
    lease: string,
  ): Promise<void> {
    const owners = new Map(
      this.store
        .peek(ShardKeys.owners)
        .map(one => [
          Number(one.key.slice(ShardKeys.owners.length)),
          one.value,
        ]),
    );
    const view = {entries: [name], candidates: [name], owners};
    await table.reconcileOwnership(view, lease);
  }
}

const NO_DIRECTORY = {reconcile: () => undefined};
