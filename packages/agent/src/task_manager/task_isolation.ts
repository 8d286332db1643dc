import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {ManagedTask} from './managed_task_types.js';
import type {ManagedTaskTable} from './managed_task_table.js';
import {TaskProbation} from './task_probation.js';

/** Longer than a probation, and shorter than an owner waits for a start. */
const MAX_WAIT_MILLISECONDS = 1_300;
const CHECK_INTERVAL_MILLISECONDS = 50;

/**
 * Keeps an isolated task apart from others that begin on its worker.
 *
 * No task begins while an isolated one waits or is in its probation, and that one
 * begins once all others have passed theirs. So a crash of the worker in that time
 * is its own doing.
 */
export class TaskIsolation {
  constructor(
    private readonly tasks: Pick<ManagedTaskTable, 'all'>,
    private readonly clock: Clock,
  ) {}

  /** Throws `capacity-exceeded` if an isolated task keeps others out. */
  requireAdmits(): void {
    const isolated = this.inProbation().find(one => one.isolation);
    if (!isolated) return;
    const message = `${isolated.task.id} is isolated on the worker`;
    throw new ChicoryspringError('capacity-exceeded', message);
  }

  /** Waits until no other task is in its probation; throws if that is long. */
  async waitForOthers(taskId: string): Promise<void> {
    const deadline = this.clock.now() + MAX_WAIT_MILLISECONDS;
    while (this.inProbation().some(one => one.task.id !== taskId)) {
      const now = this.clock.now();
      if (now >= deadline) {
        const message = 'other tasks are beginning on the worker';
        throw new ChicoryspringError('capacity-exceeded', message);
      }
      await this.clock.sleepUntil(now + CHECK_INTERVAL_MILLISECONDS);
    }
  }

  private inProbation(): readonly ManagedTask[] {
    const now = this.clock.now();
    return this.tasks.all.filter(one => TaskProbation.includes(one, now));
  }
}
