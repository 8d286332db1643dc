import type {OwnedJob} from '../job/owned_job.js';
import type {OwnedTask} from '../job/owned_task.js';

/**
 * Order in which the due tasks of jobs are placed.
 *
 * It learns from what the placement rounds report. Instants are local.
 */
export interface JobOrder {
  /** The jobs of a new placement round, the most urgent first. */
  sort(jobs: readonly OwnedJob[], now: number): readonly OwnedJob[];
  /** Records that tasks of the job have got workers. */
  recordStart(job: OwnedJob, tasks: readonly OwnedTask[], now: number): void;
  /** Records that due tasks of the job found no worker in this round. */
  recordUnplaced(job: OwnedJob, now: number): void;
}
