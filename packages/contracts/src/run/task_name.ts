/** Number of parts of a name, which are separated by dots. */
const PART_COUNT = 4;

/** Formats and parses names of tasks, `JOB.OCCURRENCE.STEP.INDEX`. */
export class TaskName {
  static format(
    job: string,
    occurrence: number,
    step: number,
    index: number,
  ): string {
    return `${job}.${occurrence}.${step}.${index}`;
  }

  /** Id of the job; undefined if the text is not a task name. */
  static parseJobId(task: string): string | undefined {
    const parts = task.split('.');
    return parts.length === PART_COUNT ? parts[0] : undefined;
  }

  /** Number of the occurrence; the name may lack the job id. */
  static parseOccurrence(task: string): number {
    return Number(task.split('.').at(-3));
  }

  /** The name without the job id, `OCCURRENCE.STEP.INDEX`. */
  static withoutJobId(task: string): string {
    return task.slice(task.indexOf('.') + 1);
  }

  /** The name without the index, `JOB.OCCURRENCE.STEP`. */
  static stepPrefix(task: string): string {
    return task.slice(0, task.lastIndexOf('.'));
  }
}
