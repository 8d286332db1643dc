/** What the operators weigh in placement, as their Policy object says. */
export interface PlacementWeights {
  /** Weight of the services' tail latency, 0 to 1. */
  readonly tailWeight: number;
  /** Weight of the work of batch tasks, 0 to 1. */
  readonly workWeight: number;
}
