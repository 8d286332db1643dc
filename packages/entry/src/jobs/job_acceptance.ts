import {
  ChicoryspringError,
  type Clock,
  type JobRecord,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import type {JobRecords} from './job_records.js';
import type {JobSubmission} from './job_submission_types.js';
import {termsOfSubmission} from './submission_terms.js';

/** Time to write a new job; if it is still unsent then, it is rejected. */
const ACCEPT_TIMEOUT_MILLISECONDS = 1_000;

interface JobAcceptanceParts {
  readonly records: JobRecords;
  readonly clock: Clock;
  readonly termsOf: (queue: string) => SchedulingParameters | undefined;
  /** Revision of the configuration in force. */
  readonly configurationRevision: () => number;
  /** Throws if a change could not become durable. */
  readonly requireLease: () => void;
  readonly onAccepted: (record: JobRecord) => void;
}

/** Accepts new jobs: writes their records before their callers are answered. */
export class JobAcceptance {
  constructor(private readonly parts: JobAcceptanceParts) {}

  /** Makes a new job durable; throws if it is rejected or may be lost. */
  async accept(
    {received, ...job}: JobSubmission,
    deadline: number,
  ): Promise<JobRecord> {
    const {records, clock, requireLease, onAccepted} = this.parts;
    const terms = termsOfSubmission(job.queue, received, this.parts);
    if (!terms) {
      const message = `there is no queue ${job.queue}`;
      throw new ChicoryspringError('unknown-route', message);
    }
    requireLease();
    const limit = clock.now() + ACCEPT_TIMEOUT_MILLISECONDS;
    try {
      const until = Math.min(deadline, limit);
      const record = await records.accept(job, terms, until);
      onAccepted(record);
      return record;
    } catch (thrown) {
      void this.addOnceWritten(job.id);
      throw thrown;
    }
  }

  /** Adds a job whose record becomes durable after its caller was rejected. */
  private async addOnceWritten(id: string): Promise<void> {
    const record = await this.parts.records.writtenRecord(id);
    if (record?.state === 'accepted') this.parts.onAccepted(record);
  }
}
