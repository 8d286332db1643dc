import type {JobRecord} from '@chicoryspring/contracts';

/** What has changed in the durable record of a job that is not over. */
export interface JobRecordChange {
  readonly kind: 'job-change';
  /** Id of the job. */
  readonly key: string;
  readonly progress: JobRecord['progress'];
}
