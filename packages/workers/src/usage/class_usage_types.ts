/** Measured resource use of the tasks of a class. */
export interface ClassUsage {
  /** Mean number of processors that one task uses. */
  readonly processorsPerTask: number;
  /** Used processors divided by declared processors; may exceed 1. */
  readonly usageRatio: number;
}
