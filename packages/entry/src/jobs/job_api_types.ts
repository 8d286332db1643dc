import type {Job, JobStatus} from '@chicoryspring/contracts';

/** What a front needs to serve jobs, wherever they are owned. */
export interface JobApi {
  /** Accepts a job durably; a repeat finds the one that was accepted. */
  submit(job: Job, deadline: number): Promise<JobStatus>;
  /** State of a job; `unknown-object` when there is none. */
  status(id: string, deadline: number): Promise<JobStatus>;
  /** Cancels a job durably; its runs are told to stop. */
  cancel(id: string, deadline: number): Promise<JobStatus>;
  /** Number of the jobs of a queue for which no task has started. */
  pending(queue: string, deadline: number): Promise<number>;
}
