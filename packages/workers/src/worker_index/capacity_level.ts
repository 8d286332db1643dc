import type {Worker} from '../worker/worker_types.js';

/** Workers with the same whole number of free processors, unordered. */
export class CapacityLevel {
  private readonly members: Worker[] = [];

  get workers(): readonly Worker[] {
    return this.members;
  }

  /** Adds a worker; returns its position. */
  add(worker: Worker): number {
    return this.members.push(worker) - 1;
  }

  replace(position: number, worker: Worker): void {
    this.members[position] = worker;
  }

  /** Removes the worker at a position; returns the worker that moved there. */
  removeAt(position: number): Worker | undefined {
    const last = this.members.pop();
    if (position === this.members.length) return undefined;
    this.members[position] = last!;
    return last;
  }
}
