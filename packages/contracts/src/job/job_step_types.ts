import type {Resources} from '../resources/resources_types.js';

/** A step of a job: tasks that are alike. */
export interface JobStep {
  /** Number of its tasks. */
  readonly count: number;
  /** What each task commits of its worker. */
  readonly resources: Resources;
  /** Rough run time of a task, in milliseconds; often far from the truth. */
  readonly estimateMilliseconds: number;
  /** Numbers of the earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  readonly isCheckpointable: boolean;
  /** Whether the tasks work only together, on one run number. */
  readonly isGang: boolean;
  /** Whether the tasks are slower when they run on more than one rack. */
  readonly isSameRack: boolean;
  /** Label that the worker must have. */
  readonly requiredLabel?: string | undefined;
  /** Rack that has the data; on others the tasks are slower. */
  readonly dataRack?: string | undefined;
  /** Most tasks of the step, of one occurrence, on one worker. */
  readonly mostPerWorker?: number | undefined;
  /** Whether copies of a task may run beside it; the first to end counts. */
  readonly isSpeculative: boolean;
  /** Whether the tasks run until the job is cancelled. */
  readonly isLasting: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string | undefined;
  /** Goal for the tail latency of tasks that serve, in milliseconds. */
  readonly goalMilliseconds?: number | undefined;
  /** Whether the tasks use only processors that the others leave idle. */
  readonly isFilling: boolean;
  /** Most tasks that the system may make unavailable at the same time. */
  readonly mostUnavailable?: number | undefined;
}
