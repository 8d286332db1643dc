/**
 * State of a task.
 *
 * `starting` is stored before the start is sent, so that a new owner knows that
 * the task may be running. `stopping` keeps the task assigned to its worker
 * until it is certain that the task no longer runs there.
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
