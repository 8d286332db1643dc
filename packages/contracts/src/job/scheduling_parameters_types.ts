/** Scheduling parameters that a job gets from its queue. */
export interface SchedulingParameters {
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** Priority; 0 is the highest, and jobs of priority 0 may preempt others. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly attempts: number;
  /** Factor of the critical path in the objective for the completion time. */
  readonly slackFactor: number;
  /** Constant part of that objective, in milliseconds. */
  readonly objectiveMilliseconds: number;
}
