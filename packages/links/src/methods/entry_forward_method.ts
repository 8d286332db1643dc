import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';
import type {ForwardedRequest} from './forwarded_request_types.js';

/** Entry to entry: forwards an operation to the owner of its shard. */
export const entryForwardMethod: LinkMethod<ForwardedRequest, unknown> = {
  name: 'entry.forward',
  input: v.object({
    operation: v.string(),
    input: v.unknown(),
    remainingMilliseconds: v.number(),
  }),
  result: v.unknown(),
};
