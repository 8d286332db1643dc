/** Load of the tasks of one class on a worker, at the time of a report. */
export interface ClassLoad {
  readonly taskClass: string;
  /** Number of running tasks. */
  readonly tasks: number;
  /** Total processors that the tasks declared. */
  readonly declaredProcessors: number;
  /** Total processors that the tasks used; absent when not measured. */
  readonly usedProcessors?: number | undefined;
  /** Progress relative to one without interference; absent if not measured. */
  readonly pace?: number | undefined;
}
