import {randomUUID} from 'node:crypto';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';

const DEFAULT_PROCESSORS = 1;
const DEFAULT_MEMORY_MEBIBYTES = 256;

/** `submit`: submits a run or a watch. */
export class SubmitCommand implements Command {
  readonly usage = 'submit <class>';
  readonly description = 'Submit a run, or a watch, of a task class';
  readonly options = [
    {flag: '--watch', description: 'Run until cancelled'},
    {flag: '--urgent', description: 'Evict other work if needed to start'},
    {
      flag: '--processors <count>',
      description: `Processors; ${DEFAULT_PROCESSORS} if left out`,
    },
    {
      flag: '--memory-mebibytes <count>',
      description: `Memory; ${DEFAULT_MEMORY_MEBIBYTES} if left out`,
    },
    {
      flag: '--accelerators <count>',
      description: 'Accelerators; 0 if left out',
    },
    {flag: '--input <text>', description: 'Input of the task'},
    {
      flag: '--key <key>',
      description: 'Idempotency key; use the same key to retry after a failure',
    },
  ];
  readonly examples = [
    'chicoryspring submit reconcile --processors 2 --key season-2026',
    'chicoryspring submit block-watch --watch',
  ];

  async run(invocation: Invocation): Promise<CommandResult> {
    const options = new OptionReader(invocation.options);
    const key = options.text('key') ?? randomUUID();
    const task = await invocation
      .client()
      .call(
        {
          method: 'POST',
          path: '/v1/tasks',
          body: createTaskBody(
            invocation.positionalArguments[0] ?? '',
            options,
          ),
          headers: {'idempotency-key': key},
        },
        answerSchemas.task,
      )
      .catch(thrown => {
        throw addKeyHint(thrown, key);
      });
    const lines = [`${task.id} ${task.state}`];
    return {exit: 'done', value: {...task, key}, lines};
  }
}

function createTaskBody(taskClass: string, options: OptionReader): object {
  return {
    kind: options.flag('watch') ? 'watch' : 'run',
    taskClass,
    urgent: options.flag('urgent'),
    resources: {
      processors: options.amount('processors', DEFAULT_PROCESSORS),
      memoryMebibytes: options.amount(
        'memoryMebibytes',
        DEFAULT_MEMORY_MEBIBYTES,
      ),
      accelerators: options.amount('accelerators', 0),
    },
    input: options.text('input') ?? '',
  };
}

/**
 * Adds the idempotency key to an error whose outcome is unknown. A retry with
 * the key shows what became of the request.
 */
function addKeyHint(thrown: unknown, key: string): unknown {
  const isUnknown =
    thrown instanceof ChicoryspringError && thrown.answer.outcome === 'unknown';
  if (!isUnknown) return thrown;
  const detail = `retry safely with --key ${key}`;
  const details = [...thrown.details, detail];
  return new ChicoryspringError(thrown.kind, thrown.message, details);
}
