import {randomUUID} from 'node:crypto';
import {
  ChicoryspringError,
  ResourcesArithmetic,
  Wakeup,
  toChicoryspringError,
  type Clock,
  type WorkerDescription,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {InterferencePacePolicy} from '@chicoryspring/jobs';
import {
  agentJoinMethod,
  interferenceLearnedMethod,
  runDescribeMethod,
  runSettledMethod,
  runStartMethod,
  runStopMethod,
  shardsHoldMethod,
  workerReportMethod,
  type Link,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import type {EntryDirectory} from '../entry_peer/entry_directory.js';
import {HarmTable} from './harm_table.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import {ShardPermissions} from './shard_permissions.js';
import {WorkerKeeper} from './worker_keeper.js';

const JOIN_MILLISECONDS = 2_000;
/** Least time between two reports. */
const REPORT_MILLISECONDS = 20;
/** Time after which a change of measures alone is reported. */
const MEASURES_MILLISECONDS = 500;

/** Runs of jobs on one worker, for the owners of the jobs. */
export class RunAgent {
  private readonly agentLife = randomUUID().slice(0, 8);
  private readonly permissions = new ShardPermissions();
  private readonly harms = new HarmTable();
  private readonly wakeup = new Wakeup();
  private keeper: WorkerKeeper | undefined;
  private version = 0;
  private lastSent = '';
  /** Whether the last worker of this life of the agent has left. */
  private hasReleased = false;

  constructor(
    private readonly agent: string,
    private readonly entries: () => Pick<EntryDirectory, 'reconcile'>,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** The worker that the agent has now. */
  get worker(): WorkerDescription | undefined {
    return this.keeper?.description;
  }

  /** Serves what owners call on this agent. */
  serve(registry: LinkMethodRegistry): void {
    registry.register(shardsHoldMethod, async (held, link) => {
      const {shards, shardCount, permissionMilliseconds, wantsReport} = held;
      const deadline = link.earliestSendTime + permissionMilliseconds;
      const holding = {shards, shardCount, deadline};
      const isNew = this.permissions.hold(holding, link);
      if (!isNew && !wantsReport) return {};
      return {report: this.report(), harms: this.harms.rows};
    });
    registry.register(runStartMethod, async (start, link) => {
      const {order, life, shard, epoch, validMilliseconds} = start;
      this.requireOwner(shard, epoch);
      if (this.clock.now() > link.earliestSendTime + validMilliseconds) {
        const message = 'the order came too late';
        throw new ChicoryspringError('start-permission-expired', message);
      }
      this.keeperOf(life).start(order);
      return {version: this.version + 1};
    });
    registry.register(runStopMethod, async ({task, run, shard, epoch}) => {
      this.requireOwner(shard, epoch);
      this.keeper?.stop(task, run);
      return null;
    });
    registry.register(runSettledMethod, async ({life, numbers}) => {
      if (this.keeper?.life === life) this.keeper.endings.settle(numbers);
      return null;
    });
    registry.register(interferenceLearnedMethod, async ({rows}) => {
      this.harms.learn(rows);
      return null;
    });
    registry.register(runDescribeMethod, async ({task, run, description}) => {
      this.keeper?.describeRun(task, run, description);
      return null;
    });
  }

  /** Greets an entry on a new link and learns the others. */
  async join(link: Link): Promise<void> {
    const deadline = this.clock.now() + JOIN_MILLISECONDS;
    const joined = await link.call(agentJoinMethod, this.report(), deadline);
    this.entries().reconcile(joined.entries);
  }

  /** Takes in a worker that announced itself, or its newer description. */
  async registerWorker(
    description: WorkerDescription,
    open: () => RunWorkerClient,
  ): Promise<void> {
    const {keeper} = this;
    if (keeper?.life === description.life) {
      keeper.describe(description);
      return;
    }
    this.log.change('worker joined', {
      worker: description.worker,
      life: description.life,
    });
    this.keeper = new WorkerKeeper(
      description,
      open(),
      this.permissions,
      new InterferencePacePolicy((serving, filling) =>
        this.harms.harm(serving, filling),
      ),
      this.clock,
      this.log,
      () => this.wakeup.notify(),
    );
    void this.keeper.run();
    await keeper?.end();
  }

  /** Lets the worker go; whatever ran there has ended. */
  async deregisterWorker(): Promise<void> {
    const {keeper} = this;
    this.keeper = undefined;
    this.hasReleased = true;
    this.log.change('worker left', {life: keeper?.life});
    await keeper?.end();
    this.wakeup.notify();
  }

  /** The task that reports to the owners whatever changes. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const round = new AbortController();
      const next = this.clock.now() + MEASURES_MILLISECONDS;
      await Promise.race([
        this.wakeup.wait(round.signal),
        this.clock.sleepUntil(next, round.signal),
      ]);
      round.abort();
      this.sendReport();
      await this.clock.sleepUntil(
        this.clock.now() + REPORT_MILLISECONDS,
        signal,
      );
    }
  }

  private requireOwner(shard: number, epoch: number): void {
    if (this.permissions.isNewest(shard, epoch)) return;
    const message = 'the shard has another owner';
    throw new ChicoryspringError('stale-epoch', message);
  }

  private keeperOf(life: string): WorkerKeeper {
    if (this.keeper?.life === life) return this.keeper;
    const message = 'the worker has started anew or is gone';
    throw new ChicoryspringError('worker-unreachable', message);
  }

  private sendReport(): void {
    const owners = this.permissions.ownerLinks;
    const content = JSON.stringify(this.content());
    if (content === this.lastSent || owners.length === 0) return;
    this.lastSent = content;
    const report = this.report();
    for (const link of owners) this.sendTo(link, report);
  }

  private sendTo(link: Link, report: WorkerReport): void {
    try {
      link.notify(workerReportMethod, report);
    } catch (thrown) {
      // The link is closing; the report goes with the next greeting.
      const {message} = toChicoryspringError(thrown);
      this.log.change('report not sent', {message});
    }
  }

  private report(): WorkerReport {
    this.version += 1;
    return {...this.content(), version: this.version};
  }

  private content(): Omit<WorkerReport, 'version'> {
    const {agent, agentLife, keeper} = this;
    return {
      agent,
      agentLife,
      worker: keeper?.description,
      free: keeper?.free ?? ResourcesArithmetic.none,
      runs: keeper?.statuses ?? [],
      endings: keeper?.endings.unsettled ?? [],
      refusals: keeper?.refusals ?? [],
      isComplete: keeper ? keeper.isKnown : this.hasReleased,
    };
  }
}
