import type {InferOutput} from 'valibot';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';
import type {ExitName} from '../exit/exit_name_types.js';

const DEFAULT_WAIT_SECONDS = 60;
/** Longest wait of one call, so that progress is reported in between. */
const MAX_CALL_WAIT_MILLISECONDS = 5_000;

type Task = InferOutput<typeof answerSchemas.task>;

const EXIT_NAMES_BY_STATE: Readonly<Record<string, ExitName>> = {
  finished: 'done',
  failed: 'failed',
  cancelled: 'failed',
};

/** `wait`: waits until a task ends and prints its answer. */
export class WaitCommand implements Command {
  readonly usage = 'wait <task>';
  readonly description = 'Wait until a task ends and show its answer';
  readonly options = [
    {
      flag: '--within <seconds>',
      description: `Time to wait; ${DEFAULT_WAIT_SECONDS} if left out`,
    },
  ];
  readonly examples = ['chicoryspring wait task-0123 --within 600'];

  async run(invocation: Invocation): Promise<CommandResult> {
    const options = new OptionReader(invocation.options);
    const deadline =
      performance.now() + options.milliseconds('within', DEFAULT_WAIT_SECONDS);
    let reportedState = '';
    for (;;) {
      const remaining = deadline - performance.now();
      const task = await this.poll(invocation, remaining);
      const exit = EXIT_NAMES_BY_STATE[task.state];
      if (exit) return {exit, value: task, lines: describeTask(task)};
      if (deadline <= performance.now()) {
        return {exit: 'late', value: task, lines: describeTask(task)};
      }
      if (task.state !== reportedState)
        invocation.progress(`${task.id} ${task.state}`);
      reportedState = task.state;
    }
  }

  private async poll(
    invocation: Invocation,
    remainingMilliseconds: number,
  ): Promise<Task> {
    const id = encodeURIComponent(invocation.positionalArguments[0] ?? '');
    const limit = Math.min(MAX_CALL_WAIT_MILLISECONDS, remainingMilliseconds);
    const milliseconds = String(Math.max(1, Math.ceil(limit)));
    return await invocation.client().call(
      {
        method: 'GET',
        path: `/v1/tasks/${id}/answer`,
        headers: {'chicoryspring-deadline-milliseconds': milliseconds},
      },
      answerSchemas.task,
    );
  }
}

function describeTask(task: Task): readonly string[] {
  const reasonSuffix = task.reason === undefined ? '' : `: ${task.reason}`;
  const title = `${task.id} ${task.state}${reasonSuffix}`;
  return task.answer === undefined ? [title] : [title, task.answer];
}
