/** A service whose targets answer checks, with its objectives. */
export interface ServiceObject {
  readonly kind: 'Service';
  readonly name: string;
  readonly spec: {
    /** Objective for the 99th percentile of latency, in milliseconds. */
    readonly tailObjectiveMilliseconds: number;
    /** Retry budget as a share of first attempts, 0 to 1. */
    readonly retryShare: number;
  };
}
