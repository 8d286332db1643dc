/** A state transition of a managed task. */
export type ManagedTaskEvent = 'started' | 'reply-lost' | 'end';
