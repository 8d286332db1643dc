import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {answerSchemas} from '../client/answer_schemas.js';

/** `cancel`: cancels a task. */
export class CancelCommand implements Command {
  readonly usage = 'cancel <task>';
  readonly description = 'Cancel a task';
  readonly options = [];
  readonly examples = ['chicoryspring cancel task-0123'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const id = encodeURIComponent(invocation.positionalArguments[0] ?? '');
    const task = await invocation
      .client()
      .call({method: 'DELETE', path: `/v1/tasks/${id}`}, answerSchemas.task);
    return {exit: 'done', value: task, lines: [`${task.id} ${task.state}`]};
  }
}
