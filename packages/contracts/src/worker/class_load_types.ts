/** Load of the tasks of one class on a worker, at the time of a report. */
export interface ClassLoad {
  readonly taskClass: string;
  /** Number of running tasks. */
  readonly tasks: number;
  /** Total processors that the tasks declared. */
  readonly declaredProcessors: number;
  /** Total processors that the tasks used; absent when not measured. */
  readonly usedProcessors?: number | undefined;
  /**
   * Progress relative to that without interference, from 0 to 1; absent if not
   * measured. Not the pace of a run, which is a CPU share in percent.
   */
  readonly pace?: number | undefined;
}
