import type {EXIT_CODE_TABLE} from './exit_code_table.js';

/** Name of a way in which a command ends. */
export type ExitName = keyof typeof EXIT_CODE_TABLE;
