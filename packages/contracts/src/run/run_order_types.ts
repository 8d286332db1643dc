import type {RunDescription} from './run_description_types.js';

/** Tells an agent to start one run of a task. */
export interface RunOrder {
  /** `JOB.OCCURRENCE.STEP.INDEX`, the name of the task. */
  readonly task: string;
  /** Number of the run; it rises with each run of the task. */
  readonly run: number;
  readonly spec: string;
  readonly description: RunDescription;
  /** Share of its pace at which it begins, 0 to 100. */
  readonly pace: number;
  /** State from which the run resumes. */
  readonly checkpoint?: string | undefined;
  /** Shows the worker that the queue's policy allows the step there. */
  readonly ticket?: string | undefined;
}
