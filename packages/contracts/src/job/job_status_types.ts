/** State of a job as callers see it. */
export type JobStatus =
  'queued' | 'running' | 'complete' | 'failed' | 'cancelled';
