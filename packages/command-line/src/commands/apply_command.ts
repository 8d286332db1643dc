import {diffConfiguration} from '@chicoryspring/configuration';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {differenceLines} from '../output/difference_lines.js';
import {ConfigurationSetLoader} from './configuration_set_loader.js';

/** `apply`: publishes files as the complete configuration set. */
export class ApplyCommand implements Command {
  readonly usage = 'apply <...paths>';
  readonly description =
    'Publish files and folders as the complete configuration set';
  readonly options = [
    {
      flag: '--revision <revision>',
      description: 'Revision to replace; the current one if left out',
    },
    {
      flag: '--allow-unsafe',
      description: 'Publish even if the change is unsafe',
    },
  ];
  readonly examples = [
    'chicoryspring apply configuration/',
    'chicoryspring apply set.yaml --revision 41',
  ];

  async run(invocation: Invocation): Promise<CommandResult> {
    const objects = await ConfigurationSetLoader.readValid(
      invocation.positionalArguments,
    );
    const current = await invocation.client().configuration();
    const options = new OptionReader(invocation.options);
    const replaced = options.amount('revision', current.revision);
    const differences = diffConfiguration(current.objects, objects);
    if (differences.length === 0 && replaced === current.revision) {
      const {revision} = current;
      const lines = [`nothing to change; revision ${revision} is in force`];
      return {exit: 'done', value: {revision, differences}, lines};
    }
    const {revision} = await invocation.client().call(
      {
        method: 'PUT',
        path: '/v1/configuration',
        body: {objects},
        headers: {'if-match': `"${replaced}"`},
        query: {allowUnsafe: String(options.flag('allowUnsafe'))},
      },
      answerSchemas.configuration,
    );
    const lines = [
      ...differenceLines(differences),
      `published revision ${revision}`,
    ];
    return {exit: 'done', value: {revision, differences}, lines};
  }
}
