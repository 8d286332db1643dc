/** Durable state of a job; every state but `accepted` is terminal. */
export type JobState = 'accepted' | 'complete' | 'failed' | 'cancelled';
