import type {LinkMethod} from '../method/link_method_types.js';
import {entryForwardMethod} from './entry_forward_method.js';
import type {ForwardedRequest} from './forwarded_request_types.js';

/**
 * Entry to entry: runs an operation wherever its owner is, for an entry that
 * does not reach the store and so does not know the owner.
 */
export const entryRelayMethod: LinkMethod<ForwardedRequest, unknown> = {
  ...entryForwardMethod,
  name: 'entry.relay',
};
