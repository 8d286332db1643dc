import {setMaxListeners} from 'node:events';
import {SystemClock, type StopSchedule} from '@chicoryspring/contracts';
import {
  CallerConcurrencyLimiter,
  type CallerAuthenticator,
} from '@chicoryspring/callers';
import type {HttpCapacity, HttpServer} from '@chicoryspring/http-server';
import {
  LinkDialer,
  LinkListener,
  LinkMethodRegistry,
} from '@chicoryspring/links';
import type {ShardTable} from '@chicoryspring/shards';
import {EtcdGatewayStore} from '@chicoryspring/store';
import {Administration} from '../administration/administration.js';
import {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import {EntryPeers} from '../entries/entry_peers.js';
import {createAuthenticator} from '../http/entry_authenticator.js';
import {createHttpCapacity} from '../http/entry_http_capacity.js';
import {createEntryServer} from '../http/entry_server.js';
import {LiveState} from '../live_state/live_state.js';
import {EntryOwnership} from '../membership/entry_ownership.js';
import type {EntryTelemetry} from '../observation/entry_telemetry_types.js';
import {EntryObserver} from '../observation/entry_observer.js';
import {broadcastConfiguration} from '../configuration_changes/configuration_broadcast.js';
import type {EntryDrainOptions} from './entry_drain_options_types.js';
import {serveLinks} from './entry_links.js';
import {EntryStop} from './entry_stop.js';
import type {EntryParts} from './entry_parts_types.js';
import type {InstrumentedStore} from './instrumented_store_types.js';
import {createShardTable} from './shard_table_factory.js';
import {NO_OP_TELEMETRY} from '../observation/no_op_telemetry.js';
import {OperationRouter} from '../operations/operation_router.js';
import {createDispatcher} from '../requests/request_dispatcher_factory.js';
import {RequestClaims} from '../requests/request_claims.js';
import {KeyedRequestRouter} from '../requests/keyed_request_router.js';
import type {RequestDispatcher} from '../requests/request_dispatcher.js';
import {JobGateway} from '../jobs/job_gateway.js';
import {JobOwner} from '../jobs/job_owner.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import {TaskRecords} from '../tasks/task_records.js';
import {TaskPlacer} from '../tasks/task_placer.js';
import {TaskOwner} from '../tasks/task_owner.js';

/** Interval of the pings to another entry. */
const PING_MILLISECONDS = 400;

/** One entry: serves HTTP and links, and owns shards of tasks and jobs. */
export class EntryProcess {
  readonly clock = new SystemClock();
  /** Memory and connections that its listeners share. */
  readonly httpCapacity: HttpCapacity;
  readonly agents = new AgentPeerDirectory(() => this.useNewCapacity());
  readonly placer = new TaskPlacer(
    this.agents.workerIndex,
    () => this.live.configuration,
    this.clock,
    Math.random,
  );
  readonly live: LiveState;
  readonly administration: Administration;
  readonly operations: OperationRouter;
  readonly dispatcher: RequestDispatcher;
  readonly authenticator: CallerAuthenticator;
  readonly callerLimiter = new CallerConcurrencyLimiter(
    () => this.live.entries.length,
  );
  readonly taskOwner: TaskOwner;
  readonly taskRecords = new TaskRecords(
    () => this.table,
    this.clock,
    transition => this.observer.taskTransitioned(transition),
  );
  readonly observer: EntryObserver;
  readonly table: ShardTable;
  private readonly store: InstrumentedStore;
  readonly jobOwner: JobOwner;
  readonly jobs: JobGateway;
  private readonly peers: EntryPeers;
  readonly ownership: EntryOwnership;
  readonly claims: RequestClaims;
  readonly keyedRequests: KeyedRequestRouter;
  private readonly registry = new LinkMethodRegistry();
  private readonly listener: LinkListener;
  private readonly server: HttpServer;
  private readonly stopping = new AbortController();
  private draining = false;

  constructor(
    readonly settings: EntrySettings,
    telemetry: EntryTelemetry = NO_OP_TELEMETRY,
    parts: EntryParts = {},
  ) {
    const {name, linkKey} = settings;
    const {clock, registry} = this;
    const {bodyBudgetMebibytes} = settings;
    const {metrics} = telemetry;
    this.httpCapacity = createHttpCapacity(bodyBudgetMebibytes, clock, metrics);
    this.store = parts.store ?? new EtcdGatewayStore(settings.storeUrl);
    this.live = new LiveState(
      this.store,
      clock,
      origin => {
        broadcastConfiguration(this, origin);
        this.taskOwner.notify();
        this.jobOwner.notify();
      },
      () => this.applyFleetChange(),
      parts.configuration?.(clock),
      telemetry.stateLog,
    );
    this.peers = this.createPeers();
    this.administration = this.createAdministration();
    this.observer = new EntryObserver(this, clock, telemetry);
    this.taskOwner = new TaskOwner(
      name,
      this.taskRecords,
      this.agents,
      this.placer,
      clock,
      () => this.ownership.current,
    );
    this.table = createShardTable(this.store, clock, this);
    this.ownership = this.createOwnership();
    this.operations = new OperationRouter(
      this.table,
      this.live,
      this.peers,
      clock,
      () => this.ownership.current.mayRenew,
    );
    this.jobOwner = this.createJobOwner();
    this.jobs = this.createJobGateway();
    this.dispatcher = createDispatcher(settings, this.agents, this.live, clock);
    this.claims = new RequestClaims(this.table, this.dispatcher, clock);
    this.keyedRequests = new KeyedRequestRouter(
      this.operations,
      this.claims,
      clock,
    );
    this.authenticator = createAuthenticator(
      this.live,
      settings.operatorTokenHash,
    );
    serveLinks(this, registry);
    this.listener = new LinkListener(registry, clock, linkKey);
    this.server = createEntryServer(this);
  }

  /**
   * Whether this entry has read the store and is not draining. An outage of
   * the store leaves it ready, since checks need no store.
   */
  get isReady(): boolean {
    return this.live.hasSynced && !this.draining;
  }

  /** Whether it reaches the store, or another entry that may reach it. */
  get isInContact(): boolean {
    const {live, peers} = this;
    const isAlone = peers.entryCount === 0;
    return (
      live.contactMilliseconds > 0 ||
      isAlone ||
      peers.responsiveEntries.length > 0
    );
  }

  /** Whether this entry is registered under a store lease. */
  get isMember(): boolean {
    return this.ownership.membership.isLeaseHeld;
  }

  readonly takeMessageCounts = () => this.registry.messageCounts.take();

  /** Number of store calls by `KIND.RESULT`. */
  get storeCalls(): ReadonlyMap<string, number> {
    return this.store.callCounts;
  }

  get linkedEntryCount(): number {
    return this.peers.links.length;
  }

  get isDraining(): boolean {
    return this.draining;
  }

  /** Starts the background loops; resolves once the server listens. */
  async start(): Promise<void> {
    // Many loops listen to this signal: no leak to warn of.
    setMaxListeners(0, this.stopping.signal);
    const {signal} = this.stopping;
    this.server.acceptLinks(this.listener);
    await this.server.listen(this.settings.host, this.settings.port);
    void this.live.run(signal);
    this.ownership.run(signal);
    void this.table.run();
    void this.taskOwner.run(signal);
    void this.jobOwner.run(signal);
    void this.observer.run(signal);
    this.observer.telemetry.stateLog.change('entry started', {});
  }

  /** Stops in the order of the schedule. */
  async drain(
    stop: StopSchedule,
    options: EntryDrainOptions = {},
  ): Promise<void> {
    this.draining = true;
    const {clock, claims, table, registry, observer} = this;
    const {membership} = this.ownership;
    const {fronts = [], usesAgentLinks = true} = options;
    const servers = [this.server, ...fronts];
    const parts = {clock, claims, membership, table, registry, observer};
    const entryStop = new EntryStop({...parts, servers, usesAgentLinks}, stop);
    await entryStop.run();
    this.stopping.abort();
    table.stop();
    this.peers.stop();
    this.listener.close();
    await this.store.close();
  }

  private createJobOwner(): JobOwner {
    const {store, clock, live} = this;
    return new JobOwner({
      entryName: this.settings.name,
      store,
      clock,
      table: () => this.table,
      log: this.observer.telemetry.stateLog,
      metrics: this.observer.telemetry.metrics,
      ownership: () => this.ownership.current,
      earlierOwners: this.ownership.earlierOwners,
      termsOf: queue => live.schedulingParametersOf(queue),
      configurationRevision: () => live.configuration.current.revision,
      domainsOut: () => live.configuration.domainsOut,
    });
  }

  private createJobGateway(): JobGateway {
    const {operations, jobOwner, table, live, peers, clock} = this;
    return new JobGateway(operations, jobOwner, table, live, peers, clock);
  }

  private createPeers(): EntryPeers {
    const {registry, clock} = this;
    const {name, linkKey} = this.settings;
    const createDialer = (url: string) =>
      new LinkDialer(url, registry, clock, linkKey, PING_MILLISECONDS);
    return new EntryPeers(name, clock, createDialer);
  }

  private createOwnership(): EntryOwnership {
    const {name, host, port, megabitsPerSecond} = this.settings;
    const {store, clock, live, table, peers} = this;
    return new EntryOwnership({
      member: {name, linkUrl: `ws://${host}:${port}`, megabitsPerSecond},
      store,
      clock,
      live,
      table,
      peers,
      log: this.observer.telemetry.stateLog,
      unawareOwners: () => this.jobOwner.unawareOwners,
      onGraceBegin: () => this.jobOwner.renewPermissions(),
    });
  }

  /** Lets tasks and requests use newly announced capacity. */
  private useNewCapacity(): void {
    this.taskOwner.notify();
    this.dispatcher.dispatchWaiting();
  }

  private createAdministration(): Administration {
    return new Administration(
      this.settings.name,
      this.store,
      this.clock,
      this.live,
      this.agents,
      this.taskRecords,
      other => this.peers.linkTo(other),
    );
  }

  private applyFleetChange(): void {
    this.peers.reconcile(this.live.entries);
    this.jobOwner.broadcastEntries(this.live.entries);
    this.ownership.membership.notify();
  }
}
