import type {JobOccurrences} from './job_occurrences_types.js';
import type {JobStep} from './job_step_types.js';

/** Work submitted by a caller: steps of tasks, under an id that it chooses. */
export interface Job {
  readonly id: string;
  /** Queue to which the job was submitted. */
  readonly queue: string;
  /** Specification of its tasks, which only the worker interprets. */
  readonly spec: string;
  readonly steps: readonly JobStep[];
  readonly occurrences?: JobOccurrences | undefined;
}
