/** Longest message that a link accepts, in bytes. */
export const LONGEST_MESSAGE_BYTES = 4 * 1024 * 1024;
