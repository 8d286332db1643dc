import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface GraceBlocksRequest {
  /** Names of owners of shards. */
  readonly owners: readonly string[];
}

/** The span of time is between two ages, on the clock of the entry that answers. */
interface GraceBlockAge {
  readonly owner: string;
  readonly sinceMilliseconds: number;
  readonly untilMilliseconds: number;
}

interface GraceBlocksResult {
  /** Those of the owners whose grace period the entry has blocked. */
  readonly blocks: readonly GraceBlockAge[];
}

/** Entry to entry: for how long it has kept owners from renewing in a grace period. */
export const graceBlocksMethod: LinkMethod<
  GraceBlocksRequest,
  GraceBlocksResult
> = {
  name: 'entry.grace-blocks',
  input: v.object({owners: v.array(v.string())}),
  result: v.object({
    blocks: v.array(
      v.object({
        owner: v.string(),
        sinceMilliseconds: v.number(),
        untilMilliseconds: v.number(),
      }),
    ),
  }),
};
