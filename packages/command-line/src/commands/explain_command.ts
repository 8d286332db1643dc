import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {answerSchemas} from '../client/answer_schemas.js';

/** `explain`: shows why a task waits, or where and why it was placed. */
export class ExplainCommand implements Command {
  readonly usage = 'explain <task>';
  readonly description = 'Show why a task waits, or where it was placed';
  readonly options = [];
  readonly examples = ['chicoryspring explain task-0123'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const id = encodeURIComponent(invocation.positionalArguments[0] ?? '');
    const explanation = await invocation
      .client()
      .call(
        {method: 'GET', path: `/v1/tasks/${id}/explanation`},
        answerSchemas.explanation,
      );
    const lines = [
      `${explanation.id} ${explanation.summary}`,
      `owner: ${explanation.owner}`,
      ...explanation.verdicts.map(
        ({verdict, workers, examples}) =>
          `${workers} workers: ${verdict}, for instance ${examples.join(', ')}`,
      ),
    ];
    return {exit: 'done', value: explanation, lines};
  }
}
