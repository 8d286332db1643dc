/** Source of time. Instants are milliseconds and never run backwards. */
export interface Clock {
  now(): number;
  /** Resolves at the deadline, or early when the signal aborts. */
  sleepUntil(deadline: number, signal?: AbortSignal): Promise<void>;
  /** Runs the action at the deadline unless the result is called before. */
  schedule(deadline: number, action: () => void): () => void;
}
