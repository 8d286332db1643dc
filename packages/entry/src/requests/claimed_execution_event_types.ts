/** Event of the lifecycle of a claimed execution. */
export type ClaimedExecutionEvent = 'dispatch' | 'give-up' | 'end';
