/** An event in the life of a kept task. */
export type ManagedTaskEvent = 'started' | 'reply-lost' | 'end';
