/** Fields of a log line. Request ids and task ids always use these names. */
export interface StateChange {
  readonly requestId?: string | undefined;
  readonly taskId?: string | undefined;
  readonly [field: string]: string | number | boolean | undefined;
}
