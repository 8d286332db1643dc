import type {ExitName} from '../exit/exit_name_types.js';

/** What a command puts out. */
export interface CommandResult {
  readonly exit: ExitName;
  /** The value of `--output json`. */
  readonly value: unknown;
  /** The lines of `--output text`. */
  readonly lines: readonly string[];
}
