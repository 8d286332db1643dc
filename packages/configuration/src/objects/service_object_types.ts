/** A service whose targets answer checks. */
export interface ServiceObject {
  readonly kind: 'Service';
  readonly name: string;
  readonly spec: {
    /** Objective for the 99th percentile of answers, in milliseconds. */
    readonly tailObjectiveMilliseconds: number;
    /** Share of first attempts that may be tried again, 0 to 1. */
    readonly retryShare: number;
  };
}
