import type {RunStatus, WorkerReport} from '@chicoryspring/contracts';
import type {OwnedRun} from '@chicoryspring/jobs';

/** The run of a task as a report has it; the known one if it says nothing new. */
export function updatedRun(
  known: OwnedRun | undefined,
  report: WorkerReport,
  status: RunStatus,
  now: number,
): OwnedRun {
  const {agent, agentLife, version, worker} = report;
  const {run, phase, percent, pace} = status;
  const isSameAgent = known?.agentLife === agentLife;
  if (isSameAgent && isUnchanged(known, report, status)) return known;
  return {
    run,
    agent,
    agentLife,
    life: worker?.life ?? '',
    phase: known?.phase === 'stopping' ? 'stopping' : phase,
    isListedAsStarting: phase === 'starting',
    sinceVersion: (isSameAgent && known.sinceVersion) || version,
    percent,
    pace,
    orderedAt: known?.orderedAt ?? now,
    stopSentAt: known?.stopSentAt,
  };
}

function isUnchanged(
  known: OwnedRun,
  {worker}: WorkerReport,
  {phase, percent, pace}: RunStatus,
): boolean {
  const isSamePhase = known.phase === phase || known.phase === 'stopping';
  const isListed = phase !== 'starting' || known.isListedAsStarting === true;
  const isSameProgress = known.percent === percent && known.pace === pace;
  const isCertain =
    known.sinceVersion !== undefined && known.uncertainUntil === undefined;
  return (
    isSamePhase &&
    isListed &&
    isSameProgress &&
    isCertain &&
    known.life === worker?.life
  );
}
