import type {Worker} from '../worker/worker_types.js';
import {FreeCapacityIndex} from './free_capacity_index.js';
import type {WorkerCandidates} from './worker_candidates_types.js';

interface Run {
  /** Position of the first worker of the run. */
  readonly start: number;
  readonly workers: readonly Worker[];
}

/**
 * Candidates of several indexes, joined level by level.
 *
 * Only the levels are visited, never the workers, so the cost of joining does
 * not grow with the fleet. Valid until an index changes.
 */
export class JoinedCandidates implements WorkerCandidates {
  private readonly runs: readonly Run[];
  readonly count: number;

  constructor(indexes: readonly FreeCapacityIndex[], leastProcessors: number) {
    const runs: Run[] = [];
    let start = 0;
    const lowest = FreeCapacityIndex.levelOf(leastProcessors);
    const {highestLevel} = FreeCapacityIndex;
    for (let level = lowest; level <= highestLevel; level += 1) {
      for (const index of indexes) {
        const workers = index.at(level);
        if (workers.length === 0) continue;
        runs.push({start, workers});
        start += workers.length;
      }
    }
    this.runs = runs;
    this.count = start;
  }

  at(position: number): Worker {
    const run = this.runs[this.runAt(position)]!;
    return run.workers[position - run.start]!;
  }

  /** Finds the run of a position by halving. */
  private runAt(position: number): number {
    let low = 0;
    let high = this.runs.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.runs[middle]!.start <= position) low = middle;
      else high = middle - 1;
    }
    return low;
  }
}
