/** The whole answer of a target to one request. */
export interface ServiceAnswer {
  /** The id of the request that this answers. */
  readonly requestId: string;
  /** HTTP status of the target. */
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}
