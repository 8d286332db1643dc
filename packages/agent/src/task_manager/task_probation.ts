import type {TaskLoss} from '@chicoryspring/contracts';
import type {ManagedTask} from './managed_task_types.js';

/** Time after its start in which the loss of a worker is put down to a task. */
const PROBATION_MILLISECONDS = 1_000;
/** The same for a task that is suspected of later crashes. */
const LONG_PROBATION_MILLISECONDS = 10_000;

/** The probation of a task: the time in which it may crash its worker. */
export class TaskProbation {
  /** The task with the probation that begins as it starts to run. */
  static begin(managed: ManagedTask, now: number): ManagedTask {
    const milliseconds =
      managed.isolation === 'long'
        ? LONG_PROBATION_MILLISECONDS
        : PROBATION_MILLISECONDS;
    return {...managed, probationDeadline: now + milliseconds};
  }

  /** Whether a task that has not ended is in its probation, or may be. */
  static includes(managed: ManagedTask, now: number): boolean {
    if (managed.state === 'ended') return false;
    return now < (managed.probationDeadline ?? Infinity);
  }

  /** Describes the loss of a task with its worker. */
  static lossOf({hasPassedProbation, isolation}: ManagedTask): TaskLoss {
    return {isInProbation: !hasPassedProbation, isolation};
  }
}
