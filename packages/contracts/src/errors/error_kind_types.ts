import type {ERROR_TABLE} from './error_table.js';

/** Kind of an error: a key of the error table. */
export type ErrorKind = keyof typeof ERROR_TABLE;
