import {FakeWorker} from '@chicoryspring/agent/task_manager/spec/fake_worker.js';
import {
  ChicoryspringError,
  type Clock,
  type Task,
} from '@chicoryspring/contracts';

/** A worker that some tasks crash a while after their start. */
export class CrashingWorker extends FakeWorker {
  constructor(
    private readonly clock: Clock,
    /** Time after which a task crashes its worker, by task. */
    private readonly crashMilliseconds: ReadonlyMap<string, number>,
  ) {
    super();
  }

  override async start(task: Task, epoch: number): Promise<void> {
    await super.start(task, epoch);
    const delay = this.crashMilliseconds.get(task.id);
    if (delay === undefined) return;
    if (delay === 0) {
      this.restart();
      throw new ChicoryspringError('worker-refused', 'connection reset');
    }
    this.clock.schedule(this.clock.now() + delay, () => {
      if (this.running.get(task.id)?.epoch === epoch) this.restart();
    });
  }
}
