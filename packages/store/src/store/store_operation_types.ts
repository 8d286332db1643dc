/** One write of a transaction. */
export type StoreOperation =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: string;
      /** Lease with which the value lapses. */
      readonly lease?: string | undefined;
    }
  | {
      readonly kind: 'delete-range';
      readonly from: string;
      /** First key that stays; the key itself with a zero byte for one key. */
      readonly end: string;
    };
