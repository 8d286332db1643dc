/** State of a claimed run: certainly nothing ran while it is `claiming`. */
export type ClaimedExecutionState = 'claiming' | 'dispatched' | 'ended';
