import type {ConfigurationObject} from '@chicoryspring/configuration';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';

/** `get`: shows the objects in force, in the format that `apply` reads. */
export class GetCommand implements Command {
  readonly usage = 'get [kind] [name]';
  readonly description = 'Show the objects in force as YAML';
  readonly options = [];
  readonly examples = [
    'chicoryspring get > set.yaml',
    'chicoryspring get Team peatland',
  ];

  async run(invocation: Invocation): Promise<CommandResult> {
    const [kind, name] = invocation.positionalArguments;
    const {revision, author, objects} = await invocation
      .client()
      .configuration();
    const selected = objects.filter(object =>
      matchesSelection(object, kind, name),
    );
    if (selected.length === 0 && kind !== undefined) {
      const message = `there is no ${[kind, name ?? '*'].join('/')}`;
      throw new ChicoryspringError('unknown-object', message);
    }
    const {writeYamlObjects} =
      await import('@chicoryspring/configuration/files/yaml_object_writer.js');
    const lines = [
      `# revision ${revision} by ${author}`,
      writeYamlObjects(selected).trimEnd(),
    ];
    return {exit: 'done', value: {revision, author, objects: selected}, lines};
  }
}

function matchesSelection(
  object: ConfigurationObject,
  kind: string | undefined,
  name: string | undefined,
): boolean {
  if (kind !== undefined && object.kind !== kind) return false;
  return name === undefined || object.name === name;
}
