/** A filling run, as interference sees it. */
export interface BestEffortRun {
  readonly image: string;
  /** Processors that it uses, or asks for while that is not measured. */
  readonly processors: number;
  /** Measured share of the worker's processors, 0 to 1; 0 when stopped. */
  readonly share: number;
  /** Share of the worker's processors that it would use at full pace. */
  readonly fullShare: number;
}
