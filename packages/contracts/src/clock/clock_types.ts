/** Monotonic source of time, in milliseconds. */
export interface Clock {
  now(): number;
  /** Resolves at the deadline, or earlier when the signal aborts. */
  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
  /** Runs the action at the deadline; the returned function cancels it. */
  schedule(deadline: number, action: () => void): () => void;
}
