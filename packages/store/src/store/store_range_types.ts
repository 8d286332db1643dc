import type {StoreValue} from './store_value_types.js';

/** What a read found, and the store's revision at the time. */
export interface StoreRange {
  readonly values: readonly StoreValue[];
  readonly revision: number;
}
