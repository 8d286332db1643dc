/** A run among the others of its worker, as input of a pace policy. */
export interface ColocatedRun {
  /** Identifies the run on its worker. */
  readonly key: string;
  readonly image: string;
  readonly isFilling: boolean;
  /** CPU share in percent at which the run may work, 0 to 100. */
  readonly pace: number;
  /** Share of the worker's processors in use; 0 unless best-effort. */
  readonly share: number;
  /** Share that a best-effort run would use at full pace. */
  readonly fullShare: number;
  /** Goal divided by tail latency; only of a latency-critical run. */
  readonly headroom?: number | undefined;
}
