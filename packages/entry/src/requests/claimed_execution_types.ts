/** State of a claimed execution; in `claiming` certainly nothing has run. */
export type ClaimedExecutionState = 'claiming' | 'dispatched' | 'ended';
