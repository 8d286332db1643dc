import {
  ChicoryspringError,
  type Clock,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {
  interferenceLearnedMethod,
  runCrashSettledMethod,
  runDescribeMethod,
  runSettledMethod,
  runStartMethod,
  runStopMethod,
  shardsHoldMethod,
  type Link,
  type LinkMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import type {CrashedRunList} from './crashed_run_list.js';
import type {InterferenceTable} from './interference_table.js';
import type {RunPermissions} from './run_permissions.js';
import {SpecificationCache} from './specification_cache.js';
import type {WorkerSession} from './worker_session.js';

type InputOf<Method> =
  Method extends LinkMethod<infer Input, unknown> ? Input : never;

/** The agent that the owners call. */
interface OwnedAgent {
  /** The current incarnation of the worker, if any. */
  readonly session: WorkerSession | undefined;
  /** Whether it accepts no more runs. */
  readonly isRetiring: boolean;
  /** Version of the next report. */
  readonly nextVersion: number;
  /** Creates the report that an owner has asked for on its link. */
  createRequestedReport(link: Link): WorkerReport;
}

/** The methods that the owners of jobs call on an agent. */
export class OwnerMethods {
  private readonly specifications = new SpecificationCache();

  constructor(
    private readonly agent: OwnedAgent,
    private readonly permissions: RunPermissions,
    private readonly interference: InterferenceTable,
    private readonly crashedRuns: CrashedRunList,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  register(registry: LinkMethodRegistry): void {
    registry.register(shardsHoldMethod, async (input, link) =>
      this.renewPermission(input, link),
    );
    registry.register(runStartMethod, async (input, link) =>
      this.start(input, link),
    );
    registry.register(runStopMethod, async input => this.stop(input));
    registry.register(runSettledMethod, async input => this.settle(input));
    registry.register(runCrashSettledMethod, async input =>
      this.settleCrash(input),
    );
    registry.register(interferenceLearnedMethod, async ({rows}) => {
      this.interference.merge(rows);
      return null;
    });
    registry.register(runDescribeMethod, async ({task, run, description}) => {
      this.agent.session?.describeRun(task, run, description);
      return null;
    });
  }

  private renewPermission(input: InputOf<typeof shardsHoldMethod>, link: Link) {
    const {permissionMilliseconds, wantsReport, ...renewed} = input;
    const deadline = link.earliestSendTime + permissionMilliseconds;
    const renewal = {...renewed, deadline};
    const isNew = this.permissions.renew(renewal, link, this.clock.now());
    if (!isNew && !wantsReport) return {};
    const report = this.agent.createRequestedReport(link);
    return {report, harms: this.interference.rows};
  }

  private start(start: InputOf<typeof runStartMethod>, link: Link) {
    const {life, shard, epoch, validMilliseconds} = start;
    // Later orders rely on it, also if this one is refused.
    const order = this.specifications.complete(start.order);
    this.requireOwner(shard, epoch);
    if (this.clock.now() > link.earliestSendTime + validMilliseconds) {
      const message = 'the start order arrived too late';
      throw new ChicoryspringError('start-permission-expired', message);
    }
    this.requireSession(life).start(order);
    // The next report is the first that lists the run.
    return {version: this.agent.nextVersion};
  }

  private stop({task, run, shard, epoch}: InputOf<typeof runStopMethod>): null {
    // It may come before the first permission of a later owner.
    if (this.permissions.isOutdated(shard, epoch)) throw staleEpochError();
    this.agent.session?.stop(task, run);
    return null;
  }

  private settle(settled: InputOf<typeof runSettledMethod>): null {
    const {shard, epoch, life, numbers} = settled;
    if (this.permissions.isOutdated(shard, epoch)) {
      this.log.change('endings not settled: earlier owner', {shard, epoch});
      return null;
    }
    const {session} = this.agent;
    if (session?.incarnation !== life) return null;
    const {endings} = session;
    endings.settle(numbers);
    const {acknowledgedUpTo} = endings;
    const settledNumbers = numbers.join();
    const fields = {shard, epoch, life, settledNumbers, acknowledgedUpTo};
    this.log.change('endings settled', fields);
    return null;
  }

  private settleCrash(settled: InputOf<typeof runCrashSettledMethod>): null {
    const {shard, epoch, crashedRun} = settled;
    if (this.permissions.isOutdated(shard, epoch)) return null;
    this.crashedRuns.settle(crashedRun);
    return null;
  }

  private requireOwner(shard: number, epoch: number): void {
    if (!this.permissions.isNewest(shard, epoch)) throw staleEpochError();
  }

  private requireSession(incarnation: string): WorkerSession {
    const {session, isRetiring} = this.agent;
    if (isRetiring)
      throw new ChicoryspringError('draining', 'the agent is shutting down');
    if (session?.incarnation === incarnation) return session;
    const message = 'the worker has restarted or is gone';
    throw new ChicoryspringError('worker-unreachable', message);
  }
}

function staleEpochError(): ChicoryspringError {
  const message = 'the shard has another owner';
  return new ChicoryspringError('stale-epoch', message);
}
