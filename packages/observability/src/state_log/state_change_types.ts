/** Fields of a log line; request and task ids go under these names. */
export interface StateChange {
  readonly requestId?: string | undefined;
  readonly taskId?: string | undefined;
  readonly [field: string]: string | number | boolean | undefined;
}
