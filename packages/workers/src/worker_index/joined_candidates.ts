import type {Worker} from '../worker/worker_types.js';
import {FreeCapacityIndex} from './free_capacity_index.js';
import type {WorkerCandidates} from './worker_candidates_types.js';

/** Candidates of one level of one index. */
interface Segment {
  /** Position of the first worker of the segment. */
  readonly start: number;
  readonly workers: readonly Worker[];
}

/**
 * Concatenates the candidates of several indexes, level by level.
 *
 * The constructor visits the levels, not the workers, so its cost does not grow
 * with the fleet. The candidates are valid until an index changes.
 */
export class JoinedCandidates implements WorkerCandidates {
  private readonly segments: readonly Segment[];
  readonly count: number;

  constructor(indexes: readonly FreeCapacityIndex[], minProcessors: number) {
    const segments: Segment[] = [];
    let start = 0;
    const lowest = FreeCapacityIndex.levelOf(minProcessors);
    const {highestLevel} = FreeCapacityIndex;
    for (let level = lowest; level <= highestLevel; level += 1) {
      for (const index of indexes) {
        const workers = index.at(level);
        if (workers.length === 0) continue;
        segments.push({start, workers});
        start += workers.length;
      }
    }
    this.segments = segments;
    this.count = start;
  }

  at(position: number): Worker {
    const segment = this.segments[this.segmentAt(position)]!;
    return segment.workers[position - segment.start]!;
  }

  /** Finds the index of a position's segment by binary search. */
  private segmentAt(position: number): number {
    let low = 0;
    let high = this.segments.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if (this.segments[middle]!.start <= position) low = middle;
      else high = middle - 1;
    }
    return low;
  }
}
