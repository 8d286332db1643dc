/** A queue of jobs: where they are submitted and who runs them. */
export interface QueueObject {
  readonly kind: 'Queue';
  readonly name: string;
  readonly spec: {
    /** Service whose workers run the tasks. */
    readonly service: string;
    /** 0 is the most urgent; such jobs may preempt others. */
    readonly priority: number;
    /** Failed runs of one task after which its job has failed. */
    readonly attempts: number;
    /** The objective is this many times the longest chain of work. */
    readonly slackFactor: number;
    /** Time that the objective adds, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** Host and start of the path at which a front takes its jobs. */
    readonly host?: string | undefined;
    readonly pathPrefix?: string | undefined;
    /** Whether an adviser says which workers may run a step. */
    readonly isAdvised: boolean;
  };
}
