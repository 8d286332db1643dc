import type {OwnedTask} from '@chicoryspring/jobs';

/** Pace up to which a run is relocated rather than kept slow. */
const SLOWED_PERCENT = 40;
/** Age from which on a slowed run may be relocated. */
const MIN_RELOCATION_AGE_MILLISECONDS = 1_500;

/** Whether a run that can resume elsewhere has been slowed for a while. */
export function isSlowed(task: OwnedTask, now: number): boolean {
  const {run, step} = task;
  if (!run || !step.isFilling || !step.isCheckpointable) return false;
  const isOld = now - run.orderedAt > MIN_RELOCATION_AGE_MILLISECONDS;
  return run.phase === 'running' && isOld && run.pace <= SLOWED_PERCENT;
}
