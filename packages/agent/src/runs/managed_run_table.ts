import type {RunDescription, RunStatus} from '@chicoryspring/contracts';
import type {ListedRun} from './listed_run_types.js';
import {ManagedRun} from './managed_run.js';

/** The runs that an agent manages on one incarnation of its worker. */
export class ManagedRunTable {
  private readonly runs = new Map<string, ManagedRun>();

  get all(): readonly ManagedRun[] {
    return [...this.runs.values()];
  }

  get size(): number {
    return this.runs.size;
  }

  /** Whether none goes on that the worker hasn't confirmed to be stopped. */
  get areStopped(): boolean {
    return this.all.every(run => run.stopConfirmedAt !== undefined);
  }

  statusesAt(now: number): readonly RunStatus[] {
    return this.all.map(run => run.statusAt(now));
  }

  get(task: string, run: number): ManagedRun | undefined {
    return this.runs.get(ManagedRun.keyOf(task, run));
  }

  /** Whether this very run is managed, and not a later one of the same key. */
  includes(run: ManagedRun): boolean {
    return this.runs.get(run.key) === run;
  }

  add(run: ManagedRun): void {
    this.runs.set(run.key, run);
  }

  remove(task: string, run: number): void {
    this.runs.delete(ManagedRun.keyOf(task, run));
  }

  /** Describes a run that was found on the worker; false if it changes none. */
  describe(task: string, run: number, description: RunDescription): boolean {
    const managed = this.get(task, run);
    if (!managed || managed.description) return false;
    managed.description = description;
    return true;
  }

  clear(): void {
    this.runs.clear();
  }

  /**
   * Applies the list of running runs that was asked for at `sentAt`.
   *
   * Removes and returns the runs that are over, since the list lacks them.
   */
  reconcile(
    running: readonly ListedRun[],
    sentAt: number,
    now: number,
  ): readonly ManagedRun[] {
    const listed = new Set<string>();
    for (const found of running) {
      const key = ManagedRun.keyOf(found.task, found.run);
      listed.add(key);
      const managed = this.runs.get(key) ?? ManagedRun.fromWorker(found, now);
      this.runs.set(key, managed);
      managed.applyListing(found, sentAt, now);
    }
    const over = this.all.filter(
      run => !listed.has(run.key) && run.isOverIfMissing(sentAt),
    );
    for (const run of over) this.runs.delete(run.key);
    return over;
  }
}
