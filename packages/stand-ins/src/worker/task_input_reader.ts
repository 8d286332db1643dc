import type {Task} from '@chicoryspring/contracts';

interface TaskInput {
  /** Time that the work takes at full speed. */
  readonly workMilliseconds: number;
  readonly answer: string;
}

const DEFAULT_WORK_MILLISECONDS = 100;

/** Reads what a task asks of the worker stand-in from its input. */
export function readTaskInput(task: Task): TaskInput {
  try {
    const input = JSON.parse(task.input) as Partial<TaskInput>;
    return {
      workMilliseconds: input.workMilliseconds ?? DEFAULT_WORK_MILLISECONDS,
      answer: input.answer ?? task.id,
    };
  } catch {
    return {workMilliseconds: DEFAULT_WORK_MILLISECONDS, answer: task.id};
  }
}
