import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface StoreContact {
  /** Whether the entry has read the store recently. */
  readonly hasContact: boolean;
  /** The shards that it owns as far as it knows, with the ownership epochs. */
  readonly ownedShards: readonly {
    readonly shard: number;
    readonly epoch: number;
  }[];
}

/** Entry to entry: asks whether the other entry reaches the store. */
export const storeContactMethod: LinkMethod<object, StoreContact> = {
  name: 'entry.store-contact',
  input: v.object({}),
  result: v.object({
    hasContact: v.boolean(),
    ownedShards: v.optional(
      v.array(v.object({shard: v.number(), epoch: v.number()})),
      [],
    ),
  }),
};
