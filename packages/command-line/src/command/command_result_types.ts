import type {ExitName} from '../exit/exit_name_types.js';

/** Result of a command, for each output format. */
export interface CommandResult {
  readonly exit: ExitName;
  /** Value printed with `--output json`. */
  readonly value: unknown;
  /** Lines printed with `--output text`. */
  readonly lines: readonly string[];
}
