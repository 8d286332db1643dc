import type {CommandOption} from './command_option_types.js';
import type {CommandResult} from './command_result_types.js';
import type {Invocation} from './invocation_types.js';

/** A command of `chicoryspring`. */
export interface Command {
  /** Name and positional arguments, for instance `take-out <domain>`. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly CommandOption[];
  /** Complete examples for the help. */
  readonly examples: readonly string[];
  run(invocation: Invocation): Promise<CommandResult>;
}
