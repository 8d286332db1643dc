import * as v from 'valibot';
import type {RunStatus} from './run_status_types.js';

/** Schema of the status of a run on a link. */
export const runStatusSchema: v.GenericSchema<unknown, RunStatus> = v.object({
  task: v.string(),
  run: v.number(),
  phase: v.picklist(['starting', 'running', 'stopping']),
  checkpoint: v.string(),
  percent: v.number(),
  pace: v.number(),
  measure: v.number(),
  isDescribed: v.boolean(),
  isIsolated: v.optional(v.boolean()),
  hasPassedProbation: v.optional(v.boolean()),
});
