/** A best-effort run as input of the interference model. */
export interface BestEffortRun {
  readonly image: string;
  /** Processors in use, or requested ones while nothing is measured. */
  readonly processors: number;
  /** Measured share of the worker's processors, 0 to 1; 0 while stopped. */
  readonly share: number;
  /** Share of the worker's processors that it would use at full pace. */
  readonly fullShare: number;
}
