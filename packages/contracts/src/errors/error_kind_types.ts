import type {ERROR_TABLE} from './error_table.js';

/** The kind of an error; the list is closed. */
export type ErrorKind = keyof typeof ERROR_TABLE;
