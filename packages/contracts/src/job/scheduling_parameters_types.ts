/** What the queue of a job says about it. */
export interface SchedulingParameters {
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 is the most urgent; such jobs may preempt others. */
  readonly priority: number;
  /** Failed runs of one task after which the job has failed. */
  readonly attempts: number;
  /** The objective is this many times the longest chain of work. */
  readonly slackFactor: number;
  /** Time that the objective adds, in milliseconds. */
  readonly objectiveMilliseconds: number;
}
