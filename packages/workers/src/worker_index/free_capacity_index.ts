import type {Worker} from '../worker/worker_types.js';
import {CapacityLevel} from './capacity_level.js';

/** Highest level; also contains workers with more free processors. */
const HIGHEST_LEVEL = 128;

interface Location {
  readonly level: number;
  readonly position: number;
}

/**
 * Buckets workers by level, the whole number of their free processors.
 *
 * Insert, remove and access by position take constant time, regardless of the
 * number of workers.
 */
export class FreeCapacityIndex {
  private readonly levels = createLevels();
  private readonly locations = new Map<string, Location>();

  static readonly highestLevel = HIGHEST_LEVEL;

  /** Level for a number of free processors. */
  static levelOf(processors: number): number {
    const level = Math.floor(processors);
    return Math.max(0, Math.min(HIGHEST_LEVEL, level));
  }

  get size(): number {
    return this.locations.size;
  }

  /** The workers of a level, unordered. */
  at(level: number): readonly Worker[] {
    return this.levels[level]!.workers;
  }

  /** Inserts a worker, or replaces the worker of the same name. */
  put(worker: Worker): void {
    const name = worker.announcement.worker;
    const level = FreeCapacityIndex.levelOf(worker.load.free.processors);
    const known = this.locations.get(name);
    if (known?.level === level) {
      this.levels[level]!.replace(known.position, worker);
      return;
    }
    this.remove(name);
    const position = this.levels[level]!.add(worker);
    this.locations.set(name, {level, position});
  }

  /** Removes a worker; the last worker of its level moves to its position. */
  remove(name: string): void {
    const location = this.locations.get(name);
    if (!location) return;
    this.locations.delete(name);
    const moved = this.levels[location.level]!.removeAt(location.position);
    if (moved) this.locations.set(moved.announcement.worker, location);
  }
}

function createLevels(): readonly CapacityLevel[] {
  const length = HIGHEST_LEVEL + 1;
  return Array.from({length}, () => new CapacityLevel());
}
