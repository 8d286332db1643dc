/** Endings of one worker incarnation that need no further action. */
export interface SettledEndings {
  readonly shard: number;
  /** Ownership epoch of the shard under which they were settled. */
  readonly epoch: number;
  /** Incarnation of the worker that listed the endings. */
  readonly life: string;
  readonly numbers: readonly number[];
}
