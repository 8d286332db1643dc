/** An event in the life of a task. */
export type TaskEvent =
  | 'place'
  | 'started'
  | 'refused'
  | 'evict'
  | 'stopped'
  | 'finish'
  | 'fail'
  | 'cancel';
