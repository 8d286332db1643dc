import type {JobOccurrences} from './job_occurrences_types.js';
import type {JobStep} from './job_step_types.js';

/** Work that a caller submits: steps of tasks, under an id of its own. */
export interface Job {
  readonly id: string;
  /** Queue that it was submitted to. */
  readonly queue: string;
  /** What its tasks run, as the worker understands it. */
  readonly spec: string;
  readonly steps: readonly JobStep[];
  readonly occurrences?: JobOccurrences | undefined;
}
