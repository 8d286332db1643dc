import type {OwnedJob} from '../job/owned_job.js';

/** What a job is sorted by, computed once a round. */
export interface JobOrderKey {
  readonly job: OwnedJob;
  /** Class of the job; the lowest goes first. */
  readonly rank: number;
  /** Workers that it has to be spread over; the most go first in a class. */
  readonly spreadWorkers: number;
  /** Order among the jobs of a class; the lowest goes first. */
  readonly turn: number;
  /** Instant of acceptance; the first goes first within a turn. */
  readonly accepted: number;
  /** Its queue, only if that competes with others. */
  readonly sharingQueue: string | undefined;
  /** Estimated work left; 0 where it does not count. */
  readonly workLeft: number;
}
