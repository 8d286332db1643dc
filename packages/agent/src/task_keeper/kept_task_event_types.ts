/** An event in the life of a kept task. */
export type KeptTaskEvent = 'started' | 'reply-lost' | 'end';
