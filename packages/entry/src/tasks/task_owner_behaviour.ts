import {
  ChicoryspringError,
  Wakeup,
  toChicoryspringError,
  type Clock,
  type TaskEnding,
  type TaskEvent,
  type TaskRecord,
} from '@chicoryspring/contracts';
import {
  taskRenewMethod,
  taskStartMethod,
  taskStopMethod,
} from '@chicoryspring/links';
import type {ShardRecord} from '@chicoryspring/shards';
import type {PlacementPolicy} from '@chicoryspring/workers';
import type {AgentDirectoryStore} from '../agents/agent_directory_store.js';
import {TaskRecords} from './task_records_behaviour.js';
import {TaskLeasesStore} from './task_leases_store.js';

/** Time that a task runs on its worker without a renewal of its owner. */
const LEASE_MILLISECONDS = 6_000;
/** Added to a lease before it counts as passed: drift of two clocks. */
const DRIFT_MARGIN_MILLISECONDS = 500;
const RENEWAL_MILLISECONDS = 1_500;
const CALL_MILLISECONDS = 2_000;
const ROUND_MILLISECONDS = 250;
/** Places the tasks of the owned shards and keeps their leases. */
export class TaskOwner {
  private readonly wakeup = new Wakeup();
  private readonly leases = new TaskLeasesStore();
  /** Tasks for which a step is under way. */
  private readonly busy = new Set<string>();
  private renewalDeadline = 0;

  constructor(
    private readonly entryName: string,
    private readonly records: TaskRecords,
    private readonly agents: AgentDirectoryStore,
    private readonly policy: PlacementPolicy,
    private readonly clock: Clock,
    private readonly mayRenew: () => boolean,
    private readonly domainsOut: () => readonly string[],
  ) {}

  /** Takes over tasks of a shard that this entry has just claimed. */
  takeOver(records: readonly ShardRecord[]): void {
    const deadline =
      this.clock.now() + LEASE_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS;
    for (const record of records) this.leases.extend(record.key, deadline);
    this.wakeup.notify();
  }

  /** Lets the owner look again, since something has changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Cancels a task; its worker is told at once. */
  async cancel(taskId: string): Promise<TaskRecord> {
    this.records.get(taskId);
    await this.records.advance(taskId, undefined, 'cancel', {});
    this.wakeup.notify();
    return this.records.get(taskId);
  }

  /** Records the end of an epoch; an ending of another epoch is ignored. */
  async end(ending: TaskEnding): Promise<void> {
    const {epoch, answer, checkpoint, reason} = ending;
    const event = EVENT_OF_RESULT[ending.result];
    const change = {
      ...(answer === undefined ? {} : {answer}),
      ...(checkpoint === undefined ? {} : {checkpoint}),
      ...(reason === undefined ? {} : {reason}),
    };
    await this.records.advance(ending.taskId, epoch, event, change);
    this.wakeup.notify();
  }

  /** The task of this owner: looks at every owned task, again and again. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const next = this.clock.now() + ROUND_MILLISECONDS;
      for (const record of this.records.all) this.look(record);
      await this.renewDue();
      const waited = new AbortController();
      await Promise.race([
        this.wakeup.wait(waited.signal),
        this.clock.sleepUntil(next, waited.signal),
      ]);
      waited.abort();
    }
  }

  private look(record: TaskRecord): void {
    if (this.busy.has(record.key)) return;
    const step = this.stepOf(record);
    if (!step) return;
    this.busy.add(record.key);
    void step
      .catch(() => undefined)
      .finally(() => this.busy.delete(record.key));
  }

  private stepOf(record: TaskRecord): Promise<void> | undefined {
    if (record.state === 'waiting') return this.place(record);
    if (TaskRecords.isSettled(record)) {
      this.leases.forget(record.key);
      return undefined;
    }
    const now = this.clock.now();
    if (this.leases.hasPassed(record.key, now)) return this.lapse(record);
    if (record.state === 'running') return undefined;
    return this.stop(record);
  }

  private async place(record: TaskRecord): Promise<void> {
    const worker = this.choose(record);
    if (!worker) return;
    this.agents.index.expect(worker, record.task);
    const epoch = record.epoch + 1;
    const change = {epoch, worker, reason: undefined};
    const placed = await this.records.advance(
      record.key,
      record.epoch,
      'place',
      change,
    );
    if (placed?.state !== 'starting') return;
    await this.start(placed);
  }

  private choose(record: TaskRecord): string | undefined {
    const request = {
      task: record.task,
      excludedWorkers: new Set(record.failedWorkers),
      domainsOut: new Set(this.domainsOut()),
      weights: {tailWeight: 0.5, workWeight: 0.5},
      now: this.clock.now(),
    };
    const chosen = this.policy.place(request, this.agents.index);
    return chosen?.announcement.worker;
  }

  private async start(record: TaskRecord): Promise<void> {
    const {task, epoch, checkpoint, worker} = record;
    const input = {
      task,
      epoch,
      checkpoint,
      owner: this.entryName,
      leaseMilliseconds: LEASE_MILLISECONDS,
    };
    const link = this.agents.get(worker ?? '')?.link;
    const limit = this.clock.now() + CALL_MILLISECONDS;
    // The agent counts the lease from the arrival, which the limit bounds.
    this.leases.extend(
      record.key,
      limit + LEASE_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS,
    );
    try {
      if (!link) throw new ChicoryspringError('peer-unreachable', 'no link');
      await link.call(taskStartMethod, input, limit);
      await this.records.advance(record.key, epoch, 'started', {});
    } catch (thrown) {
      const error = toChicoryspringError(thrown);
      if (error.answer.outcome !== 'not-run') return;
      await this.records.advance(record.key, epoch, 'refused', {
        reason: error.kind,
      });
    }
  }

  /** Asks the worker to stop; only its confirmation frees the task. */
  private async stop(record: TaskRecord): Promise<void> {
    const link = this.agents.get(record.worker ?? '')?.link;
    if (!link) return;
    const {key: taskId, epoch, state} = record;
    const input = {taskId, epoch, checkpoint: state !== 'cancelling'};
    const limit = this.clock.now() + CALL_MILLISECONDS;
    const stopped = await link.call(taskStopMethod, input, limit);
    const checkpoint = stopped.checkpoint ?? record.checkpoint;
    await this.records.advance(taskId, epoch, 'stopped', {checkpoint});
  }

  private async lapse(record: TaskRecord): Promise<void> {
    const change = {reason: 'lease-lapsed'};
    await this.records.advance(record.key, record.epoch, 'stopped', change);
  }

  /** Renews the leases of the running tasks, one message a worker. */
  private async renewDue(): Promise<void> {
    const now = this.clock.now();
    if (now < this.renewalDeadline || !this.mayRenew()) return;
    this.renewalDeadline = now + RENEWAL_MILLISECONDS;
    const running = this.records.all.filter(
      record => record.state === 'running',
    );
    for (const [worker, records] of groupByWorker(running)) {
      void this.renew(worker, records).catch(() => undefined);
    }
  }

  private async renew(
    worker: string,
    records: readonly TaskRecord[],
  ): Promise<void> {
    const link = this.agents.get(worker)?.link;
    if (!link) return;
    const tasks = records.map(({key, epoch}) => ({taskId: key, epoch}));
    const limit = this.clock.now() + CALL_MILLISECONDS;
    const deadline = limit + LEASE_MILLISECONDS + DRIFT_MARGIN_MILLISECONDS;
    for (const {key} of records) this.leases.extend(key, deadline);
    const input = {tasks, leaseMilliseconds: LEASE_MILLISECONDS};
    const {missing} = await link.call(taskRenewMethod, input, limit);
    const lost = records.filter(record => missing.includes(record.key));
    for (const record of lost) {
      await this.stop(record);
    }
  }
}

const EVENT_OF_RESULT: Readonly<Record<TaskEnding['result'], TaskEvent>> = {
  finished: 'finish',
  failed: 'fail',
  evicted: 'stopped',
  lapsed: 'stopped',
};

function groupByWorker(
  records: readonly TaskRecord[],
): ReadonlyMap<string, readonly TaskRecord[]> {
  const groups = new Map<string, readonly TaskRecord[]>();
  for (const record of records) {
    const worker = record.worker ?? '';
    groups.set(worker, [...(groups.get(worker) ?? []), record]);
  }
  return groups;
}
