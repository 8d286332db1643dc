/** What the run times of a step's tasks are learned by. */
export interface StepClass {
  readonly queue: string;
  /** Position of the step in its job. */
  readonly stepNumber: number;
  /** Declared run time; 0 if none is declared. */
  readonly estimateMilliseconds: number;
}
