/** The tasks of one class on a worker, at the instant of one report. */
export interface ClassLoad {
  readonly taskClass: string;
  /** Tasks of the class that ran. */
  readonly tasks: number;
  /** Processors that they declared together. */
  readonly declaredProcessors: number;
  /** Processors that they used together; absent when not measured. */
  readonly usedProcessors?: number | undefined;
  /** Progress over that of an undisturbed worker; absent when not measured. */
  readonly pace?: number | undefined;
}
