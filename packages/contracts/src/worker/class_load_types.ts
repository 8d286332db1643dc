/** The tasks of one class on a worker, at the instant of one measurement. */
export interface ClassLoad {
  readonly taskClass: string;
  /** Tasks of the class that ran. */
  readonly tasks: number;
  /** Processors that they used together. */
  readonly usedProcessors: number;
  /** Processors that they declared together. */
  readonly declaredProcessors: number;
  /** Their progress over that of an undisturbed worker, 0 to 1. */
  readonly pace: number;
}
