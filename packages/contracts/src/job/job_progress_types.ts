import type {CompletedTasks} from './completed_tasks_types.js';

/** Durable progress of the tasks of a job, keyed by `OCCURRENCE.STEP.INDEX`. */
export interface JobProgress {
  /** Tasks that are complete; absent if `completed` is present. */
  readonly done?: readonly string[] | undefined;
  /**
   * Replaces `done` once an occurrence has ended. An earlier release would run
   * ended occurrences again, so it must not be able to read the record.
   */
  readonly completed?: CompletedTasks | undefined;
  /** Numbers of the last failed runs, for tasks that have any. */
  readonly failedRuns: Readonly<Record<string, readonly number[]>>;
  /** Number of all failed runs, for tasks of which not all are listed. */
  readonly failureCounts?: Readonly<Record<string, number>> | undefined;
  /** Numbers of the runs with which a worker crashed, for tasks that have any. */
  readonly crashedRuns?:
    Readonly<Record<string, readonly number[]>> | undefined;
  /** Numbers of the last runs in a row with which a worker crashed late. */
  readonly lateCrashedRuns?:
    Readonly<Record<string, readonly number[]>> | undefined;
  /** Newest checkpoint, for tasks that have one. */
  readonly checkpoints: Readonly<Record<string, string>>;
}
