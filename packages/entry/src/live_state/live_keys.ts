/** Prefix of the keys of the registered entries. */
export const ENTRIES_PREFIX = '/chicoryspring/live/entries/';
