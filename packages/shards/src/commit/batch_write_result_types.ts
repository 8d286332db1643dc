/** How one write of the store ended. */
export type BatchWriteResult =
  | {readonly kind: 'applied'; readonly revision: number}
  /** Nothing was sent; the same changes may be planned again. */
  | {readonly kind: 'unsent'}
  /** Nothing was written, since an owner key or a value has changed. */
  | {readonly kind: 'lost'}
  /** The write may have taken effect, and nobody can tell any more. */
  | {readonly kind: 'uncertain'};
