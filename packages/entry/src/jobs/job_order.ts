import type {OwnedJob} from '@chicoryspring/jobs';

/** By priority, then jobs that can still meet their objective first. */
export function sortJobs(
  jobs: readonly OwnedJob[],
  now: number,
): readonly OwnedJob[] {
  const keyed = jobs.map(job => ({
    job,
    priority: job.schedulingParameters.priority,
    isLate: Number(job.isLate(now)),
    accepted: job.record.acceptedInstant,
  }));
  keyed.sort(
    (left, right) =>
      left.priority - right.priority ||
      left.isLate - right.isLate ||
      left.accepted - right.accepted,
  );
  return keyed.map(({job}) => job);
}
