import type {RunDescription} from './run_description_types.js';

/** Start order: tells an agent to start one run of a task. */
export interface RunOrder {
  /** Name of the task, `JOB.OCCURRENCE.STEP.INDEX`. */
  readonly task: string;
  /** Number of the run; increases with each run of the task. */
  readonly run: number;
  readonly spec: string;
  readonly description: RunDescription;
  /** Initial pace: CPU share in percent, 0 to 100, at which the run may work. */
  readonly pace: number;
  /** Checkpoint from which the run resumes. */
  readonly checkpoint?: string | undefined;
  /**
   * Issued by the placement policy of the queue; makes the worker accept the
   * step.
   */
  readonly ticket?: string | undefined;
  /** Whether only runs of the same job may begin at the same time there. */
  readonly isIsolated?: boolean | undefined;
  /** Whether that lasts until a late crash is ruled out as well. */
  readonly hasLongProbation?: boolean | undefined;
}
