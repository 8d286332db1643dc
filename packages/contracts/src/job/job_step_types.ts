import type {Resources} from '../resources/resources_types.js';

/** A step of a job: a number of identical tasks. */
export interface JobStep {
  /** Number of tasks. */
  readonly count: number;
  /** Resources that each task reserves on its worker. */
  readonly resources: Resources;
  /** Estimated run time of a task, in milliseconds; often very inaccurate. */
  readonly estimateMilliseconds: number;
  /** Numbers of the earlier steps that must be complete first. */
  readonly after: readonly number[];
  readonly isCheckpointable: boolean;
  /** Whether the tasks only run all together, with the same run number. */
  readonly isGang: boolean;
  /** Whether the tasks are slower when spread over more than one rack. */
  readonly isSameRack: boolean;
  /** Label that the worker must have. */
  readonly requiredLabel?: string | undefined;
  /** Rack with the data of the tasks, which are slower on other racks. */
  readonly dataRack?: string | undefined;
  /** Maximum tasks of the step on one worker, for each occurrence. */
  readonly mostPerWorker?: number | undefined;
  /** Whether a task may have speculative copies; the first to end counts. */
  readonly isSpeculative: boolean;
  /** Whether the tasks are long-running, so run until the job is cancelled. */
  readonly isLasting: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string | undefined;
  /** Goal for tail latency of latency-critical tasks, in milliseconds. */
  readonly goalMilliseconds?: number | undefined;
  /** Whether the tasks are best-effort: they only use idle processors. */
  readonly isFilling: boolean;
  /** Maximum tasks that the system may make unavailable at the same time. */
  readonly mostUnavailable?: number | undefined;
}
