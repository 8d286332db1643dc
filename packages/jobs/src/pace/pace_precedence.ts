import type {ColocatedRun} from './colocated_run_types.js';

/**
 * Width in percent of progress within which runs count as equal.
 *
 * Within it, a run that works stays ahead of one that is stopped, so that two
 * runs do not stop each other in turn.
 */
const BAND_PERCENT = 10;

/** Order in which best-effort runs of a worker are granted headroom. */
export class PacePrecedence {
  /** Most progress first, so that runs that are nearly done end. */
  static sort(runs: readonly ColocatedRun[]): readonly ColocatedRun[] {
    return [...runs].sort(
      (left, right) =>
        bandOf(right) - bandOf(left) ||
        Number(right.pace > 0) - Number(left.pace > 0) ||
        right.progressPercent - left.progressPercent ||
        (left.key < right.key ? -1 : 1),
    );
  }
}

function bandOf({progressPercent}: ColocatedRun): number {
  return Math.floor(progressPercent / BAND_PERCENT);
}
