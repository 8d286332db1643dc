import type {EXIT_CODE_TABLE} from './exit_code_table.js';

/** Name of an exit code. */
export type ExitName = keyof typeof EXIT_CODE_TABLE;
