import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface StoreContact {
  /** Whether the entry has read the store a short time ago. */
  readonly hasContact: boolean;
}

/** Entry to entry: asks whether the other one reaches the store. */
export const storeContactMethod: LinkMethod<object, StoreContact> = {
  name: 'entry.store-contact',
  input: v.object({}),
  result: v.object({hasContact: v.boolean()}),
};
