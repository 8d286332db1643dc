import {
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type TaskRecord,
} from '@chicoryspring/contracts';
import {
  taskRenewMethod,
  taskStartMethod,
  taskStopMethod,
  type Link,
} from '@chicoryspring/links';
import {LostTaskPolicy} from '@chicoryspring/workers';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {TaskLeases} from './task_leases.js';

/**
 * Time for which a task runs on its worker without a renewal by its owner, from
 * the sending of the call that showed that no other entry could own the shards.
 */
const LEASE_MILLISECONDS = 6_000;
/** Allowance for clock drift; added before a lease counts as expired. */
const DRIFT_MARGIN_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Client with which the owner of tasks calls the agents that run them.
 *
 * A call that may extend a lease records the extension before it is sent,
 * since the call may take effect although its reply is lost.
 */
export class TaskAgentClient {
  private readonly lostTasks = new LostTaskPolicy();

  constructor(
    private readonly entryName: string,
    private readonly agents: AgentPeerDirectory,
    private readonly leases: TaskLeases,
    private readonly clock: Clock,
    /** Local instant of the sending of that call. */
    private readonly provenAt: () => number,
  ) {}

  /** Whether the agent of the task is linked. */
  isLinked(record: TaskRecord): boolean {
    return this.linkOf(record) !== undefined;
  }

  /**
   * Records a lease that may have been granted to a task.
   *
   * @param renewalMilliseconds time from now for which it may still be renewed
   */
  assumeLease(
    record: {readonly key: string},
    renewalMilliseconds: number,
  ): void {
    const lastRenewal = this.clock.now() + renewalMilliseconds;
    const deadline = lastRenewal + LEASE_MILLISECONDS;
    this.leases.extend(record.key, deadline + DRIFT_MARGIN_MILLISECONDS);
  }

  /** Starts a task epoch; returns the error, or undefined if it started. */
  async startTask(record: TaskRecord): Promise<ChicoryspringError | undefined> {
    const {task, epoch, checkpoint} = record;
    const link = this.linkOf(record);
    const callDeadline = this.extendLeases([record]);
    if (!link) return new ChicoryspringError('peer-unreachable', 'no link');
    const {entryName: owner, leaseMilliseconds} = this;
    const isolation = this.lostTasks.isolationOf(record.losses);
    const input = {
      task,
      epoch,
      checkpoint,
      owner,
      leaseMilliseconds,
      isolation,
    };
    try {
      await link.call(taskStartMethod, input, callDeadline);
      return undefined;
    } catch (thrown) {
      return toChicoryspringError(thrown);
    }
  }

  /**
   * Renews the leases of tasks on one worker.
   *
   * Returns the tasks that don't run there; undefined without a link.
   */
  async renewLeases(
    records: readonly TaskRecord[],
  ): Promise<readonly TaskRecord[] | undefined> {
    const link = records[0] && this.linkOf(records[0]);
    if (!link) return undefined;
    const tasks = records.map(({key, epoch}) => ({taskId: key, epoch}));
    const callDeadline = this.extendLeases(records);
    const {leaseMilliseconds} = this;
    const input = {tasks, leaseMilliseconds};
    const {missing} = await link.call(taskRenewMethod, input, callDeadline);
    const missingKeys = new Set(missing);
    return records.filter(record => missingKeys.has(record.key));
  }

  /** Stops a task epoch; resolves with its checkpoint once it is stopped. */
  async stopTask(record: TaskRecord): Promise<string | undefined> {
    const link = this.linkOf(record);
    if (!link) throw new ChicoryspringError('peer-unreachable', 'no link');
    const {key: taskId, epoch, state} = record;
    const input = {taskId, epoch, checkpoint: state !== 'cancelling'};
    const callDeadline = this.clock.now() + CALL_TIMEOUT_MILLISECONDS;
    const stopped = await link.call(taskStopMethod, input, callDeadline);
    return stopped.checkpoint ?? record.checkpoint;
  }

  /**
   * Records the leases that a call may extend, as if the agent received it only
   * at its deadline; returns that deadline.
   */
  private extendLeases(records: readonly TaskRecord[]): number {
    const callDeadline = this.clock.now() + CALL_TIMEOUT_MILLISECONDS;
    const leaseDeadline =
      callDeadline + LEASE_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS;
    for (const {key} of records) this.leases.extend(key, leaseDeadline);
    return callDeadline;
  }

  /** Length of a lease that is granted now. */
  private get leaseMilliseconds(): number {
    const passed = this.clock.now() - this.provenAt();
    return Math.max(0, Math.floor(LEASE_MILLISECONDS - passed));
  }

  private linkOf(record: TaskRecord): Link | undefined {
    return this.agents.get(record.worker ?? '')?.link;
  }
}
