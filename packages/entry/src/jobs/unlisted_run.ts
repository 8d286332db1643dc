import type {WorkerReport} from '@chicoryspring/contracts';
import type {OwnedRun} from '@chicoryspring/jobs';

/** An uncertain run is over if a report that is asked for later lacks it. */
type UnlistedRunState = 'over' | 'uncertain' | 'unknown';

/**
 * What a complete report shows of a run that it doesn't list.
 *
 * It lists those that its agent process started up to its version. If it was
 * asked for after an unanswered start order had become invalid, that run was
 * not started. A worker of another incarnation no longer has the run. An agent
 * that has started again counts its versions anew.
 */
export function stateOfUnlistedRun(
  run: OwnedRun,
  report: WorkerReport,
  askedAt = -Infinity,
): UnlistedRunState {
  const {agentLife, life, sinceVersion, uncertainUntil = Infinity} = run;
  if (uncertainUntil < askedAt) return 'over';
  if (sinceVersion === undefined) return 'unknown';
  if (life !== report.worker?.life) return 'over';
  if (agentLife === report.agentLife)
    return sinceVersion <= report.version ? 'over' : 'unknown';
  return agentLife === undefined ? 'unknown' : 'uncertain';
}
