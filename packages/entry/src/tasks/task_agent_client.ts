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
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {TaskLeases} from './task_leases.js';

/** Time that a task runs on its worker without a renewal of its owner. */
const LEASE_MILLISECONDS = 6_000;
/** Added to a lease before it counts as passed: drift of two clocks. */
const DRIFT_MARGIN_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 2_000;

/**
 * The calls of an owner to the agents of its tasks.
 *
 * Each call that may lengthen a lease counts it before it is sent, since its
 * reply may be lost.
 */
export class TaskAgentClient {
  constructor(
    private readonly entryName: string,
    private readonly agents: AgentPeerDirectory,
    private readonly leases: TaskLeases,
    private readonly clock: Clock,
  ) {}

  /** Whether the agent of the task is linked. */
  isLinked(record: TaskRecord): boolean {
    return this.linkOf(record) !== undefined;
  }

  /** Counts the lease that an earlier owner may have given to a task. */
  assumePreviousOwnerLease(
    record: {readonly key: string},
    renewingMilliseconds: number,
  ): void {
    const last = this.clock.now() + renewingMilliseconds;
    const deadline = last + LEASE_MILLISECONDS;
    this.leases.extend(record.key, deadline + DRIFT_MARGIN_MILLISECONDS);
  }

  /** Starts an epoch; returns what it failed with, or undefined. */
  async startTask(record: TaskRecord): Promise<ChicoryspringError | undefined> {
    const {task, epoch, checkpoint} = record;
    const link = this.linkOf(record);
    const limit = this.extendLeases([record]);
    if (!link) return new ChicoryspringError('peer-unreachable', 'no link');
    const {entryName: owner} = this;
    const leaseMilliseconds = LEASE_MILLISECONDS;
    const input = {task, epoch, checkpoint, owner, leaseMilliseconds};
    try {
      await link.call(taskStartMethod, input, limit);
      return undefined;
    } catch (thrown) {
      return toChicoryspringError(thrown);
    }
  }

  /** Renews leases at a worker; returns the tasks that do not run there. */
  async renewLeases(
    records: readonly TaskRecord[],
  ): Promise<readonly TaskRecord[] | undefined> {
    const link = records[0] && this.linkOf(records[0]);
    if (!link) return undefined;
    const tasks = records.map(({key, epoch}) => ({taskId: key, epoch}));
    const limit = this.extendLeases(records);
    const input = {tasks, leaseMilliseconds: LEASE_MILLISECONDS};
    const {missing} = await link.call(taskRenewMethod, input, limit);
    const lost = new Set(missing);
    return records.filter(record => lost.has(record.key));
  }

  /** Stops an epoch; resolves with its progress once it does not run. */
  async stopTask(record: TaskRecord): Promise<string | undefined> {
    const link = this.linkOf(record);
    if (!link) throw new ChicoryspringError('peer-unreachable', 'no link');
    const {key: taskId, epoch, state} = record;
    const input = {taskId, epoch, checkpoint: state !== 'cancelling'};
    const limit = this.clock.now() + CALL_TIMEOUT_MILLISECONDS;
    const stopped = await link.call(taskStopMethod, input, limit);
    return stopped.checkpoint ?? record.checkpoint;
  }

  /** Counts the leases that a call may give; returns the call's deadline. */
  private extendLeases(records: readonly TaskRecord[]): number {
    const limit = this.clock.now() + CALL_TIMEOUT_MILLISECONDS;
    const deadline = limit + LEASE_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS;
    for (const {key} of records) this.leases.extend(key, deadline);
    return limit;
  }

  private linkOf(record: TaskRecord): Link | undefined {
    return this.agents.get(record.worker ?? '')?.link;
  }
}
