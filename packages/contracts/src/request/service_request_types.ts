/** One request of a caller to a service. */
export interface ServiceRequest {
  /** Unique id; the answer contains it as well. */
  readonly id: string;
  readonly caller: string;
  readonly service: string;
  /** Identifies repeats of the request; absent when the caller sent none. */
  readonly idempotencyKey?: string | undefined;
  /** False if the request must run at most once. */
  readonly idempotent: boolean;
  readonly contentType: string;
  readonly body: string;
  /** Local time in milliseconds after which the caller no longer waits. */
  readonly deadline: number;
}
