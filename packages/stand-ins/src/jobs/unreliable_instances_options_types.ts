/** Trouble of unreliable instances beyond what each soak of them has. */
export interface UnreliableInstancesOptions {
  /** Probability, for each step, that a path to a worker refuses connections. */
  readonly refusalProbability?: number;
  /** Probability, for each step, that an agent process is suspended. */
  readonly suspensionProbability?: number;
}
