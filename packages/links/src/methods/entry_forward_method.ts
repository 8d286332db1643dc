import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface ForwardedRequest {
  /** Name of the operation, for instance `task.submit`. */
  readonly operation: string;
  /** Input of the operation, checked by the operation itself. */
  readonly input: unknown;
  readonly remainingMilliseconds: number;
}

/** Entry to entry: runs an operation at the owner of a shard. */
export const entryForwardMethod: LinkMethod<ForwardedRequest, unknown> = {
  name: 'entry.forward',
  input: v.object({
    operation: v.string(),
    input: v.unknown(),
    remainingMilliseconds: v.number(),
  }),
  result: v.unknown(),
};
