/**
 * State of a task that an agent keeps.
 *
 * `uncertain` may run after a start whose reply was lost, so its capacity
 * stays taken. `ended` runs no more, but its owner does not know yet.
 */
export type ManagedTaskState = 'starting' | 'running' | 'uncertain' | 'ended';
