import * as v from 'valibot';
import type {RunEnding} from './run_ending_types.js';

/** Schema of the ending of a run on a link. */
export const runEndingSchema: v.GenericSchema<unknown, RunEnding> = v.object({
  number: v.number(),
  task: v.string(),
  run: v.number(),
  cause: v.picklist(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: v.string(),
});
