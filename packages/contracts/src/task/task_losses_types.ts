/** Numbers of times that workers have lost a task. */
export interface TaskLosses {
  readonly inProbation: number;
  readonly afterProbation: number;
}
