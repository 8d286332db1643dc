import {MAX_REPORTED_REFUSALS, type RunRefusal} from '@chicoryspring/contracts';
import type {ManagedRun} from './managed_run.js';

/** The last runs that a worker rejected, with reasons. */
export class RefusalList {
  private refusals: readonly RunRefusal[] = [];

  get all(): readonly RunRefusal[] {
    return this.refusals;
  }

  add({task, run}: ManagedRun, reason: string): void {
    const refusals = [...this.refusals, {task, run, reason}];
    this.refusals = refusals.slice(-MAX_REPORTED_REFUSALS);
  }
}
