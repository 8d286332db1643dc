/** Causes between which the time of a job is split, the first that applies. */
export type TimeCause =
  'room' | 'ordered' | 'repeat' | 'pace' | 'straggler' | 'work';
