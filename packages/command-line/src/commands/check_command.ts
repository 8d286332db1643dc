import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {SetLoader} from './set_loader.js';

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
    const {objects, findings} = await SetLoader.read(invocation.words);
    const asksServer = new OptionReader(invocation.options).flag('safety');
    const unsafe =
      asksServer && findings.length === 0
        ? await this.askServer(invocation, objects)
        : [];
    const all = [...findings, ...unsafe];
    const lines = all.map(SetLoader.line);
    const counts = `${objects.length} valid objects, ${all.length} findings`;
    return {
      exit: all.length === 0 ? 'done' : 'invalid',
      value: {objects: objects.length, findings: all},
      lines: [...lines, counts],
    };
  }

  private async askServer(
    invocation: Invocation,
    objects: readonly object[],
  ): Promise<Awaited<ReturnType<typeof SetLoader.read>>['findings']> {
    const {findings} = await invocation
      .client()
      .call(
        {method: 'POST', path: '/v1/configuration/check', body: {objects}},
        answerSchemas.findings,
      );
    return findings.map(finding => ({...finding, file: '', line: 0}));
  }
}
