import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface PendingQuestion {
  readonly queue: string;
}

interface PendingAnswer {
  readonly pending: number;
}

/** Entry to entry: jobs of a queue there for which no task has started. */
export const jobsPendingMethod: LinkMethod<PendingQuestion, PendingAnswer> = {
  name: 'jobs.pending',
  input: v.object({queue: v.string()}),
  result: v.object({pending: v.number()}),
};
