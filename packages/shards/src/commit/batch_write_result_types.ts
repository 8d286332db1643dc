/** Outcome of one store transaction. */
export type BatchWriteResult =
  | {readonly kind: 'applied'; readonly revision: number}
  /** The store certainly wrote nothing; the changes may be planned again. */
  | {readonly kind: 'unsent'}
  /** Nothing was written, because an owner key or a value had changed. */
  | {readonly kind: 'lost'}
  /** The write may have taken effect, and this can no longer be determined. */
  | {readonly kind: 'uncertain'};
