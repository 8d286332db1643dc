/** An event in the life of a claimed run. */
export type ClaimedRunEvent = 'dispatch' | 'give-up' | 'end';
