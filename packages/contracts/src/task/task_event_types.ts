/** An event that changes the state of a task. */
export type TaskEvent =
  | 'place'
  | 'started'
  | 'refused'
  | 'evict'
  | 'stopped'
  | 'finish'
  | 'fail'
  | 'cancel';
