import {
  toChicoryspringError,
  type ErrorKind,
  type IsolationLength,
  type Task,
  type TaskEnding,
  type TaskLoss,
} from '@chicoryspring/contracts';
import {StartPermission} from '@chicoryspring/failure-domains';
import {taskEndedMethod, type Link} from '@chicoryspring/links';
import {ManualClock} from '@chicoryspring/testing';
import {EndingReporter} from '../ending_reporter.js';
import {TaskManager} from '../task_manager.js';
import {TaskLeaseGuard} from '../task_lease_guard.js';
import {FakeWorker} from './fake_worker.js';

const LEASE_MILLISECONDS = 6_000;
const CAPACITY = {processors: 4, memoryMebibytes: 400, accelerators: 0};
const PERMISSION_MILLISECONDS = 1_000_000;

/** A task manager with an in-memory worker, owner and clock. */
export class TaskManagerFixture {
  readonly clock = new ManualClock();
  readonly permission = new StartPermission('kinangop');
  /** Endings that the owner has acknowledged. */
  readonly reported: string[] = [];
  /** Losses that were reported, by task. */
  readonly losses = new Map<string, TaskLoss>();
  /** Ids of the tasks whose owner does not answer. */
  readonly unresponsiveOwners = new Set<string>();
  readonly manager: TaskManager;
  readonly reporter: EndingReporter;
  readonly guard: TaskLeaseGuard;
  private readonly stopping = new AbortController();

  constructor(readonly worker = new FakeWorker()) {
    const {clock, permission} = this;
    this.manager = new TaskManager(worker, permission, clock, CAPACITY);
    const links = () => [this.createOwner()];
    this.reporter = new EndingReporter(
      'worker-1',
      worker,
      this.manager,
      links,
      clock,
    );
    this.guard = new TaskLeaseGuard(
      this.manager,
      this.reporter,
      permission,
      clock,
    );
    this.setDomainsOut(1, []);
  }

  /** Rebuilds the ledger and starts the background loops. */
  async open(): Promise<this> {
    await this.manager.rebuild();
    void this.guard.run(this.stopping.signal);
    void this.reporter.run(this.stopping.signal);
    await this.elapse(0);
    return this;
  }

  close(): void {
    this.stopping.abort();
  }

  setDomainsOut(revision: number, out: readonly string[]): void {
    const deadline = this.clock.now() + PERMISSION_MILLISECONDS;
    this.permission.extend(revision, out, deadline);
  }

  /** Advances the clock in steps of 100 ms. */
  async elapse(milliseconds: number): Promise<void> {
    for (let step = 0; step <= milliseconds; step += 100) {
      await this.clock.advance(step === 0 ? 0 : 100);
      await this.clock.advance(0);
    }
  }

  async start(
    id: string,
    epoch = 1,
    processors = 1,
    leaseMilliseconds = LEASE_MILLISECONDS,
    isolation?: IsolationLength,
  ): Promise<string> {
    const deadline = this.clock.now() + leaseMilliseconds;
    const resources = {processors, memoryMebibytes: 10, accelerators: 0};
    const task: Task = {
      id,
      caller: 'rangers',
      team: 'peatland',
      kind: 'run',
      taskClass: 'reconcile',
      urgent: false,
      resources,
      idempotencyKey: id,
      input: '',
    };
    const started = this.manager.start(
      task,
      epoch,
      undefined,
      deadline,
      isolation,
    );
    return await kindOf(started);
  }

  async stop(id: string, epoch = 1): Promise<string> {
    return await kindOf(this.manager.stop(id, epoch, true));
  }

  renew(ids: readonly string[], epoch = 1): readonly string[] {
    const tasks = ids.map(taskId => ({taskId, epoch}));
    const deadline = this.clock.now() + LEASE_MILLISECONDS;
    return this.manager.renewOwnerLeases(tasks, deadline);
  }

  private createOwner(): Link {
    const call = async (method: unknown, input: TaskEnding) => {
      if (method !== taskEndedMethod) throw new Error('not an ending');
      if (this.unresponsiveOwners.has(input.taskId)) {
        return await new Promise(() => undefined);
      }
      const {taskId, result, loss} = input;
      this.reported.push(`${taskId} ${result}`);
      if (loss) this.losses.set(taskId, loss);
      return null;
    };
    return {call} as unknown as Link;
  }
}

async function kindOf(work: Promise<unknown>): Promise<ErrorKind | 'done'> {
  return await work.then(
    () => 'done' as const,
    thrown => toChicoryspringError(thrown).kind,
  );
}
