/**
 * An event that changes the state of a managed task.
 *
 * `reply-lost` says that the reply to the start was lost.
 */
export type ManagedTaskEvent = 'started' | 'reply-lost' | 'end';
