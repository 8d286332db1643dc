import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {TraceReader} from '../trace/trace_reader.js';
import {formatTrace} from '../trace/trace_formatter.js';

/** `trace`: shows the history of one id from the logs of several processes. */
export class TraceCommand implements Command {
  readonly usage = 'trace <id> [...files]';
  readonly description =
    'Show the history of a job or task from logs (files, or standard input)';
  readonly options = [];
  readonly examples = [
    'chicoryspring trace 5c0e7a21d94b36f8 logs/*.log',
    'cat logs/*.log | chicoryspring trace 5c0e7a21d94b36f8 --output json',
  ];

  async run({positionalArguments}: Invocation): Promise<CommandResult> {
    const [id = '', ...files] = positionalArguments;
    const texts = await Promise.all(files.map(readLog));
    const logTexts = files.length > 0 ? texts : [await text(process.stdin)];
    const lines = TraceReader.read(id, logTexts);
    if (lines.length === 0) {
      const message = `no line of these logs has the id ${id}`;
      throw new ChicoryspringError('unknown-object', message);
    }
    return {exit: 'done', value: lines, lines: formatTrace(lines)};
  }
}

async function readLog(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    const {message} = thrown as Error;
    throw new ChicoryspringError('settings-invalid', message);
  }
}
