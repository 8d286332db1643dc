import type {JobProgress} from './job_progress_types.js';
import type {JobState} from './job_state_types.js';
import type {SchedulingParameters} from './scheduling_parameters_types.js';
import type {Job} from './job_types.js';

/** The durable record of a job; its tasks are compact inside. */
export interface JobRecord {
  readonly kind: 'job';
  /** Id of the job. */
  readonly key: string;
  readonly job: Job;
  /** Terms of the queue when the job was accepted. */
  readonly terms: SchedulingParameters;
  readonly state: JobState;
  /** When it was accepted, in milliseconds since 1970. */
  readonly acceptedInstant: number;
  readonly progress: JobProgress;
  /** Until when the ended job can be asked for. */
  readonly retentionDeadline?: number | undefined;
}
