import type {LinkMethod} from '../method/link_method_types.js';
import {entryForwardMethod} from './entry_forward_method.js';
import type {ForwardedRequest} from './forwarded_request_types.js';

/**
 * Entry to entry: relays an operation to the owner of its shard, for an entry
 * that cannot reach the store and therefore doesn't know the owner.
 */
export const entryRelayMethod: LinkMethod<ForwardedRequest, unknown> = {
  ...entryForwardMethod,
  name: 'entry.relay',
};
