/** A best-effort run that takes part of a headroom budget. */
export interface HeadroomDemand {
  readonly image: string;
  /** Share of the worker's processors that it uses at full pace. */
  readonly fullShare: number;
}
