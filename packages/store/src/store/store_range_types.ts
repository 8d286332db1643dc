import type {StoreValue} from './store_value_types.js';

/** Result of a range read, with the revision of the store at the read. */
export interface StoreRange {
  readonly values: readonly StoreValue[];
  readonly revision: number;
}
