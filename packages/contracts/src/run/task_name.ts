/** Parts of a name, with dots between. */
const PARTS = 4;

/** Names of tasks: `JOB.OCCURRENCE.STEP.INDEX`. */
export class TaskName {
  /** Name of a task. */
  static format(
    job: string,
    occurrence: number,
    step: number,
    index: number,
  ): string {
    return `${job}.${occurrence}.${step}.${index}`;
  }

  /** Id of the job; undefined when the text is no name of a task. */
  static parseJobId(task: string): string | undefined {
    const parts = task.split('.');
    return parts.length === PARTS ? parts[0] : undefined;
  }

  /** The name without the id of its job. */
  static withoutJobId(task: string): string {
    return task.slice(task.indexOf('.') + 1);
  }

  /** Name of the step and occurrence, `JOB.OCCURRENCE.STEP`. */
  static stepPrefix(task: string): string {
    return task.slice(0, task.lastIndexOf('.'));
  }
}
