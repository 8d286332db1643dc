/** Weights of the placement cost, set by operators in the Policy object. */
export interface PlacementWeights {
  /** Weight of the interference with services' tail latency, 0 to 1. */
  readonly tailWeight: number;
  /** Weight of the interference between batch tasks, 0 to 1. */
  readonly workWeight: number;
}
