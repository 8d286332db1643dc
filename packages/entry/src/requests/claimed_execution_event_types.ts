/** An event in the life of a claimed run. */
export type ClaimedExecutionEvent = 'dispatch' | 'give-up' | 'end';
