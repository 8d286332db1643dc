import {RunAgent} from '@chicoryspring/agent';
import type {
  Clock,
  Job,
  JobStep,
  SchedulingParameters,
  WorkerDescription,
} from '@chicoryspring/contracts';
import {LinkMethodRegistry} from '@chicoryspring/links';
import type {Store} from '@chicoryspring/store';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {ManualClock} from '@chicoryspring/testing';
import type {FakeRunWorker} from './fake_run_worker.js';
import {KillableWorkerClient} from './killable_worker_client.js';
import {LineList} from './line_list.js';
import {MemoryLink} from './memory_link.js';
import {OwnerFixture} from './owner_fixture.js';
import {ProcessSuspension} from './process_suspension.js';
import {RunHistory} from './run_history.js';
import {SuspendableClock} from './suspendable_clock.js';

const STEP_MILLISECONDS = 20;
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

/** How an entry differs from one that shares all with the fleet. */
interface OwnerOptions {
  readonly store?: Store;
  readonly random?: () => number;
  readonly clock?: Clock;
  /** Whether its process is suspended; never if absent. */
  readonly suspension?: ProcessSuspension;
  /** Shards that it acquires at the start, all if absent. */
  readonly shards?: readonly number[];
}

/** Owners of jobs and agents in one process, over one store in memory. */
export class JobFleetFixture {
  readonly clock = new ManualClock();
  /** Clock of the agents that are started from now on. */
  agentClock: Clock = this.clock;
  /** Time from each call of the store to its effect. */
  storeDelayMilliseconds = 0;
  /** Time from the effect of each call of the store to its reply. */
  storeReplyMilliseconds = 0;
  /** What goes wrong with each call of the store. */
  storeFault: MemoryStoreFault['kind'] = 'none';
  readonly store = new MemoryStore(this.clock, () => ({
    kind: this.storeFault,
    requestMilliseconds: this.storeDelayMilliseconds,
    replyMilliseconds: this.storeReplyMilliseconds,
  }));
  readonly log = new LineList();
  /** What the workers that were made with it have seen. */
  readonly history = new RunHistory();
  /** The only queue, its parameters and their revision, at every owner. */
  readonly queue = 'queue';
  readonly terms = TERMS;
  configurationRevision = 5;
  /** Failure domains that are taken out, at every owner. */
  domainsOut: () => readonly string[] = () => [];

  /** Takes these failure domains out of service, and no other one. */
  takeOut(...domains: readonly string[]): void {
    this.configurationRevision += 1;
    this.domainsOut = () => domains;
  }

  /** A job whose steps differ from a plain one as given. */
  job(id: string, ...steps: readonly Partial<JobStep>[]): Job {
    const all = steps.map(step => ({...STEP, ...step}));
    return {id, queue: this.queue, spec: 'spec', steps: all};
  }

  /**
   * An entry that owns every shard that has no owner, from now on; or those of
   * the shards that are given.
   */
  async startOwner(
    name: string,
    options: OwnerOptions = {},
  ): Promise<OwnerFixture> {
    const {store = this.store, random = Math.random} = options;
    const {clock = this.clock, suspension, shards} = options;
    const owner = new OwnerFixture(
      this,
      name,
      store,
      random,
      clock,
      suspension,
    );
    await owner.start(shards);
    return owner;
  }

  /** An agent with a worker, linked to the owners. */
  startAgent(name: string, worker: FakeRunWorker, life = `${name}@1`) {
    const opened = this.openAgent(name);
    const {agent, registry, clock, suspension, stop} = opened;
    let isKilled = false;
    const register = (one: FakeRunWorker, incarnation: string) => {
      const client = new KillableWorkerClient(one, () => isKilled);
      const description = this.describeWorker(name, incarnation);
      void agent.registerWorker(description, () => client);
    };
    register(worker, life);
    const kill = () => {
      stop();
      isKilled = true;
    };
    return {agent, registry, clock, suspension, register, kill};
  }

  /** An agent whose worker has not registered yet; it may be suspended. */
  openAgent(name: string, suspension?: ProcessSuspension) {
    const {agentClock, log} = this;
    const clock = suspension
      ? new SuspendableClock(agentClock, suspension)
      : agentClock;
    const registry = new LinkMethodRegistry();
    const stopping = new AbortController();
    const agent = new RunAgent(name, () => NO_DIRECTORY, clock, log);
    agent.serve(registry);
    void agent.run(stopping.signal);
    const stop = () => stopping.abort();
    return {
      agent,
      registry,
      clock,
      suspension: suspension ?? new ProcessSuspension(),
      stop,
    };
  }

  /** Description of a worker as it registers. */
  describeWorker(worker: string, life: string): WorkerDescription {
    return {
      worker,
      life,
      service: 'service',
      failureDomain: 'domain',
      labels: ['a'],
      capacity: {processors: 4, memoryMebibytes: 4_000, accelerators: 0},
      isLeaving: false,
      isAnswering: true,
    };
  }

  /**
   * Links an agent to an owner, and returns the agent's end. What that sends
   * takes the given time.
   */
  link(
    agent: ReturnType<JobFleetFixture['openAgent' | 'startAgent']>,
    owner: OwnerFixture,
    delayMilliseconds = 0,
  ): MemoryLink {
    const ends = MemoryLink.pair(agent, owner);
    ends[0].delayMilliseconds = delayMilliseconds;
    // An agent whose entry doesn't answer gives the link up.
    const join = () =>
      void agent.agent.join(ends[0]).catch(() => ends[0].close());
    agent.suspension.whenAwake(join);
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
}

const NO_DIRECTORY = {reconcile: () => undefined};
