/** What the tasks of a class use, as measured. */
export interface ClassUsage {
  /** Processors that one task uses. */
  readonly processorsPerTask: number;
  /** Used over declared processors. */
  readonly usedShare: number;
}
