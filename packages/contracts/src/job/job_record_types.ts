import type {JobProgress} from './job_progress_types.js';
import type {JobState} from './job_state_types.js';
import type {SchedulingParameters} from './scheduling_parameters_types.js';
import type {Job} from './job_types.js';

/** The durable record of a job, which includes the progress of its tasks. */
export interface JobRecord {
  readonly kind: 'job';
  /** Id of the job. */
  readonly key: string;
  readonly job: Job;
  /** Scheduling parameters of the queue when the job was accepted. */
  readonly terms: SchedulingParameters;
  readonly state: JobState;
  /** Time of acceptance, in milliseconds since 1970. */
  readonly acceptedInstant: number;
  readonly progress: JobProgress;
  /** Time until which the terminal job can be queried. */
  readonly retentionDeadline?: number | undefined;
}
