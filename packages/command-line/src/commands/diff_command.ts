import {diffConfiguration} from '@chicoryspring/configuration';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {differenceLines} from '../output/difference_lines.js';
import {ConfigurationSetLoader} from './configuration_set_loader.js';

/** `diff`: shows what applying the files would change. */
export class DiffCommand implements Command {
  readonly usage = 'diff <...paths>';
  readonly description = 'Show what applying the files would change';
  readonly options = [];
  readonly examples = ['chicoryspring diff configuration/'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const objects = await ConfigurationSetLoader.readValid(
      invocation.positionalArguments,
    );
    const current = await invocation.client().configuration();
    const {revision} = current;
    const differences = diffConfiguration(current.objects, objects);
    const lines = [
      ...differenceLines(differences),
      `${differences.length} objects differ from revision ${revision}`,
    ];
    const exit = differences.length === 0 ? 'done' : 'different';
    return {exit, value: {revision, differences}, lines};
  }
}
