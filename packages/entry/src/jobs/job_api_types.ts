import type {Job, JobStatus} from '@chicoryspring/contracts';

/** Job operations for an HTTP front end, whichever entry owns the job. */
export interface JobApi {
  /** Accepts a job durably; idempotent by the job's id. */
  submit(job: Job, deadline: number): Promise<JobStatus>;
  /** State of a job; `unknown-object` when there is none. */
  status(id: string, deadline: number): Promise<JobStatus>;
  /** Cancels a job durably and stops its runs. */
  cancel(id: string, deadline: number): Promise<JobStatus>;
  /** Number of the jobs of a queue for which no task has started. */
  pending(queue: string, deadline: number): Promise<number>;
}
