/** Maximum size of a message that a link accepts. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
