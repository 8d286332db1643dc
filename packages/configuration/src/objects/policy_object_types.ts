/** Weights of the goals of placement and eviction. */
export interface PolicyObject {
  readonly kind: 'Policy';
  readonly name: string;
  readonly spec: {
    /** Weight of the services' tail latency, 0 to 1. */
    readonly tailWeight: number;
    /** Weight of work that completes without eviction, 0 to 1. */
    readonly workWeight: number;
  };
}
