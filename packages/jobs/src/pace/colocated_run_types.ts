/** A run beside others, as the interference guard sees it. */
export interface ColocatedRun {
  readonly key: string;
  readonly image: string;
  readonly isFilling: boolean;
  /** Share of its pace that it was told to work at, 0 to 100. */
  readonly pace: number;
  /** Share of the worker's processors that it uses; of a filling run. */
  readonly share: number;
  /** Share that it would use at full pace; of a filling run. */
  readonly fullShare: number;
  /** Goal divided by the tail latency of a run that serves; else absent. */
  readonly headroom?: number | undefined;
}
