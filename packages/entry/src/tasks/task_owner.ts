import {
  Wakeup,
  toChicoryspringError,
  type Clock,
  type TaskEnding,
  type TaskEvent,
  type TaskRecord,
} from '@chicoryspring/contracts';
import type {ShardRecord} from '@chicoryspring/shards';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {Ownership} from './ownership_types.js';
import {PlacementDelays} from './placement_delays.js';
import {TaskRecords} from './task_records.js';
import {TaskAgentClient} from './task_agent_client.js';
import type {TaskPlacer} from './task_placer.js';
import {TaskLeases} from './task_leases.js';

const RENEWAL_INTERVAL_MILLISECONDS = 1_500;
const ROUND_INTERVAL_MILLISECONDS = 250;
/** Minimum time between two rounds; a burst of changes costs few rounds. */
const MIN_ROUND_INTERVAL_MILLISECONDS = 10;

/** Places the tasks of the owned shards and renews their leases. */
export class TaskOwner {
  private readonly wakeup = new Wakeup();
  private readonly leases = new TaskLeases();
  private readonly agentClient: TaskAgentClient;
  private readonly delays = new PlacementDelays();
  /** Keys of the tasks with a step in flight. */
  private readonly stepsInFlight = new Set<string>();
  private nextRenewalTime = 0;

  constructor(
    entryName: string,
    private readonly records: TaskRecords,
    agents: AgentPeerDirectory,
    private readonly placer: TaskPlacer,
    private readonly clock: Clock,
    private readonly ownership: () => Ownership,
  ) {
    this.agentClient = new TaskAgentClient(
      entryName,
      agents,
      this.leases,
      clock,
      () => this.ownership().provenAt,
    );
  }

  /** Adds the tasks of a shard that this entry has just acquired. */
  shardGained(records: readonly ShardRecord[]): void {
    const {previousOwnerRenewalMilliseconds} = this.ownership();
    for (const record of records) {
      this.agentClient.assumeLease(record, previousOwnerRenewalMilliseconds);
    }
    this.records.shardGained(records);
    for (const record of records) {
      if (record.kind === 'task') this.placer.restorePlacement(record);
    }
    this.nextRenewalTime = 0;
    this.wakeup.notify();
  }

  /** Removes the tasks of a shard that this entry has lost. */
  shardLost(records: readonly ShardRecord[]): void {
    this.records.shardLost(records);
    for (const {key} of records) this.removeTask(key);
  }

  /** Starts the next round at once, since something has changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Cancels a task; the next round starts at once to stop it. */
  async cancel(taskId: string): Promise<TaskRecord> {
    this.records.get(taskId);
    await this.records.advance(taskId, undefined, 'cancel', {});
    this.wakeup.notify();
    return this.records.get(taskId);
  }

  /** Records the ending of a task epoch; one of another epoch is ignored. */
  async recordEnding(ending: TaskEnding): Promise<void> {
    const {epoch, answer, checkpoint, reason} = ending;
    if (!this.records.has(ending.taskId)) return;
    const record = this.records.get(ending.taskId);
    if (record.epoch !== epoch || TaskRecords.isTerminal(record)) return;
    const step = this.placer.handleEnding(record, ending);
    const change = {
      ...(answer === undefined ? {} : {answer}),
      ...(checkpoint === undefined ? {} : {checkpoint}),
      ...(reason === undefined ? {} : {reason}),
      ...step.change,
    };
    await this.commitEnding(ending, epoch, step.event, change);
    this.delays.reset(ending.taskId);
    this.wakeup.notify();
  }

  /** Records an ending; an answer that is too large fails the task. */
  private async commitEnding(
    {taskId}: TaskEnding,
    epoch: number,
    event: TaskEvent,
    change: Partial<TaskRecord>,
  ): Promise<void> {
    try {
      await this.records.advance(taskId, epoch, event, change);
    } catch (thrown) {
      const error = toChicoryspringError(thrown);
      if (error.kind !== 'body-too-large') throw error;
      const reason = error.kind;
      await this.records.advance(taskId, epoch, 'fail', {reason});
    }
  }

  /** Background loop: starts the next step of each task and renews leases. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this.clock.now();
      for (const record of this.records.active.notRunning)
        this.startStep(record);
      this.renewIfDue(now);
      await this.clock.sleepUntil(
        now + MIN_ROUND_INTERVAL_MILLISECONDS,
        signal,
      );
      const next = now + ROUND_INTERVAL_MILLISECONDS;
      await this.wakeup.waitUntil(this.clock, next);
    }
  }

  private startStep(record: TaskRecord): void {
    if (this.stepsInFlight.has(record.key)) return;
    const step = this.nextStep(record);
    if (!step) return;
    this.stepsInFlight.add(record.key);
    // A later round continues from what the record then says.
    void step
      .catch(() => undefined)
      .finally(() => this.stepsInFlight.delete(record.key));
  }

  private nextStep(record: TaskRecord): Promise<void> | undefined {
    const now = this.clock.now();
    if (record.state === 'waiting') {
      const {isHeld} = this.ownership();
      const mayPlace = isHeld && this.delays.mayPlace(record.key, now);
      return mayPlace ? this.place(record) : undefined;
    }
    if (this.leases.hasExpired(record.key, now))
      return this.recordExpiredLease(record);
    if (record.state === 'running') return undefined;
    if (record.state === 'starting') return this.confirmStart(record);
    return this.stop(record);
  }

  private async place(record: TaskRecord): Promise<void> {
    const worker = this.placer.chooseWorker(record);
    if (!worker) return;
    const epoch = record.epoch + 1;
    const change = {epoch, worker, reason: undefined};
    const placed = await this.records.advance(
      record.key,
      record.epoch,
      'place',
      change,
    );
    if (placed?.state !== 'starting' || placed.epoch !== epoch) {
      return this.placer.releaseWorker({...record, worker});
    }
    await this.start(placed);
  }

  private async start(record: TaskRecord): Promise<void> {
    // An entry that was paused past its lease may have been replaced as owner.
    // The assumed lease lets the unsent start expire, even without a link.
    if (!this.ownership().isHeld) {
      return this.agentClient.assumeLease(record, 0);
    }
    const failure = await this.agentClient.startTask(record);
    if (!failure) return await this.recordStarted(record);
    if (failure.answer.outcome !== 'not-run') return;
    this.placer.releaseWorker(record);
    this.delays.recordRefusal(record.key, this.clock.now());
    const change = {reason: failure.kind};
    await this.records.advance(record.key, record.epoch, 'refused', change);
  }

  private async recordStarted(record: TaskRecord): Promise<void> {
    this.delays.reset(record.key);
    this.placer.recordStarted(record);
    await this.records.advance(record.key, record.epoch, 'started', {});
  }

  /** Finds out whether a start whose reply was lost took effect. */
  private async confirmStart(record: TaskRecord): Promise<void> {
    if (!this.ownership().isHeld) return;
    const missing = await this.agentClient.renewLeases([record]);
    if (missing?.length === 0) return await this.recordStarted(record);
    await this.stop(record);
  }

  /**
   * Asks the agent to stop a task epoch.
   *
   * The task may be placed again only once the agent has confirmed this or the
   * lease has expired.
   */
  private async stop(record: TaskRecord): Promise<void> {
    if (!this.agentClient.isLinked(record)) return;
    const checkpoint = await this.agentClient.stopTask(record);
    const {key, epoch} = record;
    this.placer.releaseWorker(record);
    await this.records.advance(key, epoch, 'stopped', {checkpoint});
  }

  private async recordExpiredLease(record: TaskRecord): Promise<void> {
    const change = {reason: 'lease-lapsed'};
    this.placer.releaseWorker(record);
    await this.records.advance(record.key, record.epoch, 'stopped', change);
  }

  /**
   * Renews the leases of the running tasks, with one call per worker.
   *
   * A running task whose lease has expired returns to waiting.
   */
  private renewIfDue(now: number): void {
    if (now < this.nextRenewalTime) return;
    this.nextRenewalTime = now + RENEWAL_INTERVAL_MILLISECONDS;
    const {active} = this.records;
    this.leases.retainOnly(taskId => active.has(taskId));
    for (const record of active.running) this.startStep(record);
    if (!this.ownership().mayRenew) return;
    for (const records of groupByWorker(active.running).values()) {
      // The next renewal retries, unless a lease expires before.
      void this.renewLeases(records).catch(() => undefined);
    }
  }

  private removeTask(taskId: string): void {
    this.leases.remove(taskId);
    this.delays.reset(taskId);
    this.placer.removeTask(taskId);
  }

  private async renewLeases(records: readonly TaskRecord[]): Promise<void> {
    const missing = await this.agentClient.renewLeases(records);
    for (const record of missing ?? []) await this.stop(record);
  }
}

function groupByWorker(
  records: readonly TaskRecord[],
): ReadonlyMap<string, readonly TaskRecord[]> {
  const groups = new Map<string, Set<TaskRecord>>();
  for (const record of records) {
    const worker = record.worker ?? '';
    groups.set(worker, (groups.get(worker) ?? new Set()).add(record));
  }
  return new Map([...groups].map(([worker, group]) => [worker, [...group]]));
}
