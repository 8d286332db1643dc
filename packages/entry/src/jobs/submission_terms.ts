import type {SchedulingParameters} from '@chicoryspring/contracts';
import type {JobSubmission} from './job_submission_types.js';

/** The configuration in force at the owner of a job. */
interface OwnerConfiguration {
  readonly configurationRevision: () => number;
  readonly termsOf: (queue: string) => SchedulingParameters | undefined;
}

/**
 * Parameters of a job's queue by the newer configuration of the entry that
 * received the job and its owner; undefined if that one has no such queue.
 */
export function termsOfSubmission(
  queue: string,
  received: JobSubmission['received'],
  owner: OwnerConfiguration,
): SchedulingParameters | undefined {
  const isOwnerBehind =
    (received?.revision ?? 0) > owner.configurationRevision();
  return isOwnerBehind ? received?.terms : owner.termsOf(queue);
}
