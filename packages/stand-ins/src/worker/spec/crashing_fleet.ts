import {EndingReporter} from '@chicoryspring/agent/task_manager/ending_reporter.js';
import {TaskLeaseGuard} from '@chicoryspring/agent/task_manager/task_lease_guard.js';
import {TaskManager} from '@chicoryspring/agent/task_manager/task_manager.js';
import {ActiveConfiguration} from '@chicoryspring/configuration';
import type {
  IsolationLength,
  Task,
  TaskEnding,
  TaskRecord,
} from '@chicoryspring/contracts';
import {AgentPeerDirectory} from '@chicoryspring/entry/agents/agent_peer_directory.js';
import {TaskOwner} from '@chicoryspring/entry/tasks/task_owner.js';
import {TaskPlacer} from '@chicoryspring/entry/tasks/task_placer.js';
import {TaskRecords} from '@chicoryspring/entry/tasks/task_records.js';
import {StartPermission} from '@chicoryspring/failure-domains';
import type {Link, LinkMethod} from '@chicoryspring/links';
import {ShardTable} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock} from '@chicoryspring/testing';
import {CrashingWorker} from './crashing_worker.js';

const OWNER = 'one';
const STEP_MILLISECONDS = 50;
const LEASE_MILLISECONDS = 1_000_000;
const SUBMIT_TIMEOUT_MILLISECONDS = 5_000;
const CAPACITY = {processors: 16, memoryMebibytes: 4_096, accelerators: 0};

interface Input {
  readonly task: Task;
  readonly taskId: string;
  readonly epoch: number;
  readonly checkpoint?: string;
  readonly leaseMilliseconds: number;
  readonly isolation?: IsolationLength;
  readonly tasks: readonly {readonly taskId: string; readonly epoch: number}[];
}

/** An owner of tasks, and agents whose workers some tasks crash. */
export class CrashingFleet {
  readonly clock = new ManualClock();
  readonly workers: readonly CrashingWorker[];
  private readonly stopping = new AbortController();
  private readonly store = new MemoryStore(this.clock);
  private readonly agents = new AgentPeerDirectory(() => undefined);
  private readonly records: TaskRecords;
  private readonly table: ShardTable;
  private readonly owner: TaskOwner;

  constructor(
    workerCount: number,
    crashMilliseconds: ReadonlyMap<string, number>,
  ) {
    const {clock, store, agents, stopping} = this;
    this.records = new TaskRecords(() => this.table, clock);
    this.table = new ShardTable(store, clock, {
      entryName: OWNER,
      shardCount: 1,
      onGained: records => this.owner.shardGained(records),
      onLost: records => this.owner.shardLost(records),
    });
    const configuration = new ActiveConfiguration();
    const placer = new TaskPlacer(
      agents.workerIndex,
      () => configuration,
      clock,
      () => 0,
    );
    this.owner = new TaskOwner(
      OWNER,
      this.records,
      agents,
      placer,
      clock,
      () => ({
        isHeld: true,
        mayRenew: true,
        provenAt: clock.now(),
        previousOwnerRenewalMilliseconds: 0,
      }),
    );
    this.workers = Array.from(
      {length: workerCount},
      () => new CrashingWorker(clock, crashMilliseconds),
    );
    void this.table.run();
    void this.owner.run(stopping.signal);
  }

  async open(): Promise<void> {
    const {id} = await this.store.grantLease(LEASE_MILLISECONDS);
    const members = [OWNER];
    const owners = new Map<number, string>();
    const view = {entries: members, candidates: members, owners};
    void this.table.reconcileOwnership(view, id);
    await this.pass(STEP_MILLISECONDS);
    for (const [position, worker] of this.workers.entries())
      await this.startAgent(`worker-${position + 1}`, worker);
  }

  close(): void {
    this.stopping.abort();
    this.table.stop();
    this.store.close();
  }

  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
  }

  submit(id: string): void {
    const deadline = this.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    void this.records
      .submit(createTask(id), deadline)
      .then(() => this.owner.notify());
  }

  record(id: string): TaskRecord {
    return this.records.get(id);
  }

  /** Number of times that a task was started on any worker. */
  startsOf(id: string): number {
    const starts = this.workers.flatMap(worker => worker.starts);
    return starts.filter(one => one.startsWith(`${id}/`)).length;
  }

  /** Number of workers on which a task runs at this instant. */
  runsOf(id: string): number {
    return this.workers.filter(worker => worker.running.has(id)).length;
  }

  private async startAgent(
    name: string,
    worker: CrashingWorker,
  ): Promise<void> {
    const {clock, stopping} = this;
    const permission = new StartPermission('kinangop');
    permission.extend(1, [], Infinity);
    const manager = new TaskManager(worker, permission, clock, CAPACITY);
    const reporter = new EndingReporter(
      name,
      worker,
      manager,
      () => [this.linkToOwner()],
      clock,
    );
    const guard = new TaskLeaseGuard(manager, reporter, permission, clock);
    await manager.rebuild();
    void guard.run(stopping.signal);
    void reporter.run(stopping.signal);
    this.agents.recordAnnouncement(
      {
        worker: name,
        failureDomain: 'kinangop',
        rack: 'rack-1',
        capacity: CAPACITY,
        slots: 0,
        running: [],
        draining: false,
      },
      this.linkToAgent(manager),
    );
  }

  private linkToOwner(): Link {
    const call = async (_: unknown, ending: TaskEnding) => {
      await this.owner.recordEnding(ending);
      return null;
    };
    return {call} as unknown as Link;
  }

  private linkToAgent(manager: TaskManager): Link {
    const {clock} = this;
    const call = async (
      {name}: LinkMethod<unknown, unknown>,
      input: Input,
    ): Promise<unknown> => {
      const {task, taskId, epoch, checkpoint, isolation, tasks} = input;
      const deadline = clock.now() + input.leaseMilliseconds;
      if (name === 'task.start')
        return await manager.start(
          task,
          epoch,
          checkpoint,
          deadline,
          isolation,
        );
      if (name === 'task.renew')
        return {missing: manager.renewOwnerLeases(tasks, deadline)};
      return {checkpoint: await manager.stop(taskId, epoch, true)};
    };
    const {signal: closed} = new AbortController();
    return {isOpen: true, closed, call} as unknown as Link;
  }
}

function createTask(id: string): Task {
  return {
    id,
    caller: 'rangers',
    team: 'trust',
    kind: 'run',
    taskClass: 'reconcile',
    urgent: false,
    resources: {processors: 1, memoryMebibytes: 1, accelerators: 0},
    idempotencyKey: id,
    input: '',
  };
}
