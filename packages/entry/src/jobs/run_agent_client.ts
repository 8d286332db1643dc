import {
  toChicoryspringError,
  type Clock,
  type CrashedRun,
  type RunDescription,
  type RunOrder,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {OwnedTask} from '@chicoryspring/jobs';
import {
  runCrashSettledMethod,
  runDescribeMethod,
  runSettledMethod,
  runStartMethod,
  runStopMethod,
  shardsHoldMethod,
  type Link,
} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {RenewalCall} from '../renewals/renewal_call_types.js';
import type {RenewalResult} from '../renewals/renewal_result_types.js';
import type {FleetAgent} from './fleet_agent.js';
import type {SettledEndings} from './settled_endings_types.js';
import {SentSpecifications} from './sent_specifications.js';

const STOP_TIMEOUT_MILLISECONDS = 2_000;
const RENEWAL_TIMEOUT_MILLISECONDS = 2_000;

interface RunAgentClientParts {
  readonly table: () => ShardTable;
  readonly clock: Clock;
  readonly log: StateLog;
  /** Revision of the configuration in force, and its domains out of service. */
  readonly configurationRevision: () => number;
  readonly domainsOut: () => readonly string[];
}

/** Calls that the owner of jobs makes on the agents of workers. */
export class RunAgentClient {
  private readonly specifications = new SentSpecifications();

  constructor(private readonly parts: RunAgentClientParts) {}

  /**
   * Sends a start order; resolves with the first report version with it.
   *
   * It is valid only as long as the agent's run permission, from whose end the
   * owner counts the time until all runs there have ended.
   */
  async startRun(
    agent: FleetAgent,
    incarnation: string,
    order: RunOrder,
    job: string,
  ): Promise<number> {
    const {shard, epoch} = this.ownershipOf(job);
    const deadline = agent.permissionDeadline;
    const validMilliseconds = Math.floor(deadline - this.parts.clock.now());
    const link = agent.link!;
    const start = {
      order: this.specifications.messageFor(order, job, link),
      life: incarnation,
      shard,
      epoch,
      validMilliseconds,
    };
    try {
      const answer = await link.call(runStartMethod, start, deadline);
      return answer.version;
    } catch (thrown) {
      // The agent may not have the specification, so that the next order has it.
      this.specifications.forget(job, link);
      throw thrown;
    }
  }

  /** Asks an agent to stop a run; a failure shows in the next report. */
  stopRun(agent: FleetAgent, job: string, task: string, run: number): void {
    const {link} = agent;
    if (!link?.isOpen) return;
    const stop = {...this.ownershipOf(job), task, run};
    const deadline = this.parts.clock.now() + STOP_TIMEOUT_MILLISECONDS;
    link.call(runStopMethod, stop, deadline).catch(thrown => {
      const {kind, message} = toChicoryspringError(thrown);
      const fields = {taskId: task, run, agent: agent.name, kind, message};
      this.parts.log.change('stop call failed', fields);
    });
  }

  /** Notifies an agent that the owner needs nothing more of some endings. */
  settleEndings(agent: FleetAgent, settled: SettledEndings): void {
    if (agent.link?.isOpen) agent.link.notify(runSettledMethod, settled);
  }

  /** Notifies an agent that the owner needs nothing more of a crashed run. */
  settleCrash(agent: FleetAgent, job: string, crashedRun: CrashedRun): void {
    if (!agent.link?.isOpen) return;
    const settled = {...this.ownershipOf(job), crashedRun};
    agent.link.notify(runCrashSettledMethod, settled);
  }

  /** Sends the description of a run that an agent found without one. */
  describeRun(agent: FleetAgent, task: OwnedTask, run: number): void {
    if (!agent.link?.isOpen) return;
    const description = RunAgentClient.descriptionOf(task);
    const described = {task: task.name, run, description};
    agent.link.notify(runDescribeMethod, described);
  }

  /** Renews the run permission of an agent for the owned shards that are given. */
  async renewPermission(
    agent: FleetAgent,
    ownedShards: readonly number[],
    isLeaseHeld: boolean,
    {wantsReport}: RenewalCall,
  ): Promise<RenewalResult> {
    const remaining = agent.permissionDeadline - this.parts.clock.now();
    const permissionMilliseconds = Math.floor(remaining);
    const table = this.parts.table();
    const shards = ownedShards.map(shard => ({
      shard,
      epoch: table.epochOf(shard) ?? 0,
    }));
    const permission = {permissionMilliseconds, isLeaseHeld};
    const owned = {shards, shardCount: table.shardCount, ...permission};
    const renewal = {...owned, ...this.configuration, wantsReport};
    const deadline = this.parts.clock.now() + RENEWAL_TIMEOUT_MILLISECONDS;
    return await agent.link!.call(shardsHoldMethod, renewal, deadline);
  }

  /** Asks the agent process at a link for a report, without a permission. */
  async requestReport(link: Link): Promise<WorkerReport | undefined> {
    const {shardCount} = this.parts.table();
    const permission = {permissionMilliseconds: 0, isLeaseHeld: false};
    const owned = {shards: [], shardCount, ...permission};
    const input = {...owned, ...this.configuration, wantsReport: true};
    const deadline = this.parts.clock.now() + RENEWAL_TIMEOUT_MILLISECONDS;
    const {report} = await link.call(shardsHoldMethod, input, deadline);
    return report;
  }

  static descriptionOf({step}: OwnedTask): RunDescription {
    const {resources, isFilling, isLasting, image, goalMilliseconds} = step;
    return {resources, isFilling, isLasting, image, goalMilliseconds};
  }

  /** The shard of a job and its ownership epoch, 0 if it is not owned. */
  ownershipOf(job: string) {
    const table = this.parts.table();
    const shard = table.shardOf(job);
    return {shard, epoch: table.epochOf(shard) ?? 0};
  }

  /** What agents have to know of the configuration in force. */
  private get configuration() {
    const {configurationRevision, domainsOut} = this.parts;
    return {revision: configurationRevision(), domainsOut: domainsOut()};
  }
}
