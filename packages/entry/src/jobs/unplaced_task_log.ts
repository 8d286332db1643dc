import type {Clock} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask, WorkerView} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';

/** Time between two looks at the cause for one job. */
const JOB_INTERVAL_MILLISECONDS = 1_000;
/** Looks at the cause in one interval, for all jobs together. */
const MAX_LOOKS = 50;

interface UnplacedTaskLogParts {
  readonly clock: Clock;
  readonly log: StateLog;
  /** Why each agent was passed over for the task, in a few words each. */
  readonly passedOver: (
    job: OwnedJob,
    task: OwnedTask,
    views: ReadonlyMap<string, WorkerView>,
  ) => readonly string[];
}

interface LoggedCause {
  readonly cause: string;
  readonly lookAgainAt: number;
}

/**
 * Logs why the due tasks of a job find no worker, each time the cause changes.
 *
 * The cause is the set of reasons for which workers were passed over; how many
 * workers each concerns is logged with it, but is no change.
 */
export class UnplacedTaskLog {
  private readonly causes = new WeakMap<OwnedJob, LoggedCause>();
  private intervalEnd = 0;
  private looks = 0;

  constructor(private readonly parts: UnplacedTaskLogParts) {}

  /** A run of the job was ordered; what it waits for next is a new cause. */
  forget(job: OwnedJob): void {
    this.causes.delete(job);
  }

  /** Logs the cause if it is not the one that was logged last. */
  record(
    job: OwnedJob,
    task: OwnedTask,
    views: ReadonlyMap<string, WorkerView>,
  ): void {
    const {clock, log, passedOver} = this.parts;
    const now = clock.now();
    const last = this.causes.get(job);
    if (last && (now < last.lookAgainAt || !this.mayLook(now))) return;
    const counts = countsOf(passedOver(job, task, views));
    const cause = [...counts.keys()].join();
    const lookAgainAt = now + JOB_INTERVAL_MILLISECONDS;
    this.causes.set(job, {cause, lookAgainAt});
    if (cause === last?.cause) return;
    const {image, isFilling} = task.step;
    log.change('no worker for a task', {
      taskId: task.name,
      usableWorkers: views.size,
      passedOver: [...counts].map(pair => pair.join('=')).join(', '),
      image,
      isFilling,
    });
  }

  private mayLook(now: number): boolean {
    if (now >= this.intervalEnd) {
      this.intervalEnd = now + JOB_INTERVAL_MILLISECONDS;
      this.looks = 0;
    }
    this.looks += 1;
    return this.looks <= MAX_LOOKS;
  }
}

/** Number of workers by reason, the reasons in alphabetical order. */
function countsOf(reasons: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const reason of [...reasons].sort())
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  return counts;
}
