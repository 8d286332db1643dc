/** One request of a caller to a service. */
export interface ServiceRequest {
  /** Unique for each request; an answer carries it back. */
  readonly id: string;
  readonly caller: string;
  readonly service: string;
  /** Names the request over repeats; absent when the caller gave none. */
  readonly idempotencyKey?: string | undefined;
  /** False for a request that runs at most once. */
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: string;
  /** Local instant in milliseconds after which nobody waits for the answer. */
  readonly deadline: number;
}
