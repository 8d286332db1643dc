import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface PendingJobsRequest {
  readonly queue: string;
}

interface PendingJobsResult {
  readonly pending: number;
  /** Shards that the number covers; absent from an earlier release. */
  readonly shards?: readonly number[] | undefined;
}

/** Entry to entry: number of its jobs of a queue without any started task. */
export const jobsPendingMethod: LinkMethod<
  PendingJobsRequest,
  PendingJobsResult
> = {
  name: 'jobs.pending',
  input: v.object({queue: v.string()}),
  result: v.object({
    pending: v.number(),
    shards: v.optional(v.array(v.number())),
  }),
};
