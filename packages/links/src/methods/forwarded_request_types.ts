/** An operation that one entry lets another run. */
export interface ForwardedRequest {
  /** Name of the operation, for instance `task.submit`. */
  readonly operation: string;
  /** Input of the operation, checked by the operation itself. */
  readonly input: unknown;
  readonly remainingMilliseconds: number;
}
