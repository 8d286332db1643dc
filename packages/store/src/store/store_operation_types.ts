/** One write in a transaction. */
export type StoreOperation =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: string;
      /** Lease whose expiry or revocation deletes the key. */
      readonly lease?: string | undefined;
    }
  | {readonly kind: 'delete'; readonly key: string};
