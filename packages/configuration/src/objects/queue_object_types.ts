/** A queue of jobs: where they are submitted and which workers run them. */
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
    /**
     * A job's time limit, counted from its acceptance, is this factor times the
     * critical path of its steps, plus `objectiveMilliseconds`.
     */
    readonly slackFactor: number;
    /** Fixed part of a job's time limit, in milliseconds. */
    readonly objectiveMilliseconds: number;
    /** Host and path prefix at which an HTTP front end accepts its jobs. */
    readonly host?: string | undefined;
    readonly pathPrefix?: string | undefined;
    /** Whether an adviser decides which workers may run a step. */
    readonly isAdvised: boolean;
  };
}
