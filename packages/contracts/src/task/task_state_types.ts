/**
 * State of a task.
 *
 * `starting` is durable before the start is sent, so a new owner knows that
 * the task may be running. `stopping` holds the worker until it is certain
 * that the task does not run there any more.
 */
export type TaskState =
  | 'waiting'
  | 'starting'
  | 'running'
  | 'stopping'
  | 'cancelling'
  | 'finished'
  | 'failed'
  | 'cancelled';
