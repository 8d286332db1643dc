/** One write of a transaction. */
export type StoreOperation =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: string;
      /** Lease with which the value lapses. */
      readonly lease?: string | undefined;
    }
  | {readonly kind: 'delete'; readonly key: string};
