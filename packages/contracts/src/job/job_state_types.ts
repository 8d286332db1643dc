/** Durable state of a job; only `accepted` jobs have work to do. */
export type JobState = 'accepted' | 'complete' | 'failed' | 'cancelled';
