import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {tableLines} from '../output/table_lines.js';

/** `history`: lists the published revisions. */
export class HistoryCommand implements Command {
  readonly usage = 'history';
  readonly description = 'Show the published revisions, newest first';
  readonly options = [];
  readonly examples = ['chicoryspring history'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const {changes} = await invocation
      .client()
      .call(
        {method: 'GET', path: '/v1/configuration/history'},
        answerSchemas.history,
      );
    const rows = changes.map(change => [
      `revision ${change.revision}`,
      change.at,
      change.author,
      change.summary,
    ]);
    return {exit: 'done', value: {changes}, lines: tableLines(rows)};
  }
}
