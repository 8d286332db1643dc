import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {tableLines} from '../output/table_lines.js';

/** `status`: shows which conditions are met, which are not, and why. */
export class StatusCommand implements Command {
  readonly usage = 'status';
  readonly description =
    'Show which conditions are met, which are not, and why';
  readonly options = [];
  readonly examples = ['chicoryspring status'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const status = await invocation
      .client()
      .call({method: 'GET', path: '/v1/status'}, answerSchemas.status);
    const {entry, isReady, revision, entries, workers, conditions} = status;
    const names = entries.map(one => one.name).sort();
    const rows = conditions.map(({type, isMet, reason, message}) => [
      isMet ? 'ok' : 'LOOK',
      type,
      reason,
      message,
    ]);
    const lines = [
      `${entry} is ${isReady ? 'ready' : 'not ready'}, revision ${revision}`,
      `entries: ${names.join(', ')}; workers: ${workers.length}`,
      ...tableLines(rows),
    ];
    return {exit: 'done', value: status, lines};
  }
}
