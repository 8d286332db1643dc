import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {ConfigurationSetLoader} from './configuration_set_loader.js';

/** `check`: checks files as one set, without a server unless `--safety`. */
export class CheckCommand implements Command {
  readonly usage = 'check <...paths>';
  readonly description = 'Check files and folders as one configuration set';
  readonly options = [
    {
      flag: '--safety',
      description: 'Also ask the server whether the change is safe',
    },
  ];
  readonly examples = [
    'chicoryspring check configuration/',
    'chicoryspring check domains.yaml teams.yaml --safety',
  ];

  async run(invocation: Invocation): Promise<CommandResult> {
    const {objects, findings} = await ConfigurationSetLoader.read(
      invocation.positionalArguments,
    );
    const checksSafety = new OptionReader(invocation.options).flag('safety');
    const unsafe =
      checksSafety && findings.length === 0
        ? await this.checkSafety(invocation, objects)
        : [];
    const allFindings = [...findings, ...unsafe];
    const lines = allFindings.map(ConfigurationSetLoader.formatFinding);
    const counts = `${objects.length} valid objects, ${allFindings.length} findings`;
    return {
      exit: allFindings.length === 0 ? 'done' : 'invalid',
      value: {objects: objects.length, findings: allFindings},
      lines: [...lines, counts],
    };
  }

  private async checkSafety(
    invocation: Invocation,
    objects: readonly object[],
  ): Promise<
    Awaited<ReturnType<typeof ConfigurationSetLoader.read>>['findings']
  > {
    const {findings} = await invocation
      .client()
      .call(
        {method: 'POST', path: '/v1/configuration/check', body: {objects}},
        answerSchemas.findings,
      );
    return findings.map(finding => ({...finding, file: '', line: 0}));
  }
}
