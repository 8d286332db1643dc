import * as v from 'valibot';
import type {CompletedTasks} from './completed_tasks_types.js';
import type {JobProgress} from './job_progress_types.js';

const occurrence = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const completedTasks: v.GenericSchema<unknown, CompletedTasks> = v.object({
  endedBefore: occurrence,
  open: v.array(occurrence),
  tasks: v.array(v.string()),
});

/** Schema of the durable progress of a job. */
export const jobProgressSchema: v.GenericSchema<unknown, JobProgress> = v.pipe(
  v.object({
    done: v.optional(v.array(v.string())),
    completed: v.optional(completedTasks),
    failedRuns: v.record(v.string(), v.array(v.number())),
    failureCounts: v.optional(v.record(v.string(), v.number())),
    crashedRuns: v.optional(v.record(v.string(), v.array(v.number()))),
    lateCrashedRuns: v.optional(v.record(v.string(), v.array(v.number()))),
    checkpoints: v.record(v.string(), v.string()),
  }),
  v.check(
    ({done, completed}) => (done === undefined) !== (completed === undefined),
    'must have either done or completed',
  ),
);
