/** The complete answer of a target to one request. */
export interface ServiceAnswer {
  /** Id of the answered request. */
  readonly requestId: string;
  /** HTTP status of the target. */
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}
