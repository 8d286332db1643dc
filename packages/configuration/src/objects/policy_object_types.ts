/** Weights of the goals of placement and eviction. */
export interface PolicyObject {
  readonly kind: 'Policy';
  readonly name: string;
  readonly spec: {
    /** Weight of the goal of a low tail latency of services, 0 to 1. */
    readonly tailWeight: number;
    /**
     * Weight of the goal that work completes without eviction, 0 to 1; it
     * multiplies the interference between batch tasks in the placement cost.
     */
    readonly workWeight: number;
  };
}
