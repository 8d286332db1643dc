import type {WorkerStart} from '../../worker/worker_start_types.js';

/** Difference that the clocks of two processes may have. */
const CLOCK_SKEW_MILLISECONDS = 2;

interface BrokenPromises {
  /** Times that a task began while an earlier epoch still ran. */
  readonly inTwoPlaces: number;
  /** Starts of an epoch that had started before. */
  readonly startedTwice: number;
  /** Starts at which a worker had more processors in use than it has. */
  readonly overCommitted: number;
}

/** Counts what the recorded starts of all workers break. */
export function countBrokenPromises(
  startsByWorker: readonly (readonly WorkerStart[])[],
  processors: number,
): BrokenPromises {
  const all = startsByWorker
    .flat()
    .sort((left, right) => left.atMilliseconds - right.atMilliseconds);
  const epochs = all.map(({task, epoch}) => `${task}/${epoch}`);
  return {
    inTwoPlaces: all.filter((one, n) => overlaps(one, all.slice(0, n))).length,
    startedTwice: epochs.length - new Set(epochs).size,
    overCommitted: startsByWorker
      .map(starts => starts.filter(at => usedAt(starts, at) > processors))
      .flat().length,
  };
}

function overlaps(
  start: WorkerStart,
  earlier: readonly WorkerStart[],
): boolean {
  const limit = start.atMilliseconds + CLOCK_SKEW_MILLISECONDS;
  return earlier
    .filter(one => one.task === start.task)
    .some(one => (one.endedAtMilliseconds ?? Infinity) > limit);
}

function usedAt(starts: readonly WorkerStart[], at: WorkerStart): number {
  const now = at.atMilliseconds;
  return starts
    .filter(one => one.atMilliseconds <= now)
    .filter(one => (one.endedAtMilliseconds ?? Infinity) > now)
    .reduce((sum, one) => sum + one.processors, 0);
}
