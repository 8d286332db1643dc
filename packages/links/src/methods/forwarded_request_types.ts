/** An operation that one entry sends to another. */
export interface ForwardedRequest {
  /** Name of the operation, for example `task.submit`. */
  readonly operation: string;
  /** Input of the operation, validated by the operation itself. */
  readonly input: unknown;
  readonly remainingMilliseconds: number;
}
