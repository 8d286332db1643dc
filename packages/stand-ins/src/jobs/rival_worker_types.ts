import type {RunEndingCause} from '@chicoryspring/contracts';

/** One incarnation of a worker in a soak. */
export interface RivalWorker {
  /** The runs in progress, by task. */
  readonly running: ReadonlyMap<string, unknown>;
  /** Every run that began, `TASK#RUN`, in order. */
  readonly began: readonly string[];
  /** Tasks with a run that ended as done and whose end was acknowledged. */
  readonly acknowledgedDone: readonly string[];
  /** Ends the run of a task. */
  end(task: string, cause: RunEndingCause): void;
}
