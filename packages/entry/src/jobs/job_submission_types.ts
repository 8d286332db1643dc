import type {Job, SchedulingParameters} from '@chicoryspring/contracts';

/**
 * A job on its way to its owner, with what the receiving entry knows of its
 * queue: the owner judges the job by the newer configuration of the two.
 */
export interface JobSubmission extends Job {
  /** Absent from an entry of an earlier release. */
  readonly received?:
    | {
        /** Revision of the configuration in force at the receiving entry. */
        readonly revision: number;
        /** Parameters of the queue at that revision; absent without the queue. */
        readonly terms?: SchedulingParameters | undefined;
      }
    | undefined;
}
