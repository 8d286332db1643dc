/**
 * An event that changes the state of a task.
 *
 * `refused`: the task was certainly not started. `stopped`: it certainly does
 * not run on its worker any longer, and may be placed again unless cancelled.
 */
export type TaskEvent =
  | 'place'
  | 'started'
  | 'refused'
  | 'evict'
  | 'stopped'
  | 'finish'
  | 'fail'
  | 'cancel';
