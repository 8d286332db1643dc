import * as v from 'valibot';
import type {CrashedRun} from './crashed_run_types.js';

/** Schema of a run that had begun shortly before its worker crashed. */
export const crashedRunSchema: v.GenericSchema<unknown, CrashedRun> = v.object({
  life: v.string(),
  task: v.string(),
  run: v.number(),
});
