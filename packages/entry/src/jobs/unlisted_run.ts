import type {WorkerReport} from '@chicoryspring/contracts';
import type {OwnedRun} from '@chicoryspring/jobs';

/**
 * Whether a run is over, since a complete report doesn't list it.
 *
 * A report lists the runs that its agent process started up to its version. A
 * new agent process lists what it found once its worker rejects the orders of the
 * one before, or once every lease that this one gave has ended. If the report was
 * asked for after an unanswered start order had become invalid, that run was not
 * started. A worker of another incarnation no longer has the runs of an earlier one.
 */
export function isUnlistedRunOver(
  run: OwnedRun,
  report: WorkerReport,
  askedAt = -Infinity,
): boolean {
  const {agentLife, life, sinceVersion, uncertainUntil = Infinity} = run;
  if (agentLife !== report.agentLife || uncertainUntil < askedAt) return true;
  if (sinceVersion === undefined) return false;
  return sinceVersion <= report.version || life !== report.worker?.life;
}
