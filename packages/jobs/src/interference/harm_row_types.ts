/** What a processor of one image's filling runs does to a serving image. */
export interface HarmRow {
  readonly serving: string;
  readonly filling: string;
  /** Growth of the logarithm of the tail latency, for each processor. */
  readonly harm: number;
}
