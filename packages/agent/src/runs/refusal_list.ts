import type {WorkerReport} from '@chicoryspring/contracts';
import type {ManagedRun} from './managed_run.js';

/** Maximum of refusals; every report repeats them, so each owner sees them. */
const MAX_REFUSALS = 64;

type Refusal = WorkerReport['refusals'][number];

/** The last runs that a worker rejected, with reasons. */
export class RefusalList {
  private refusals: readonly Refusal[] = [];

  get all(): readonly Refusal[] {
    return this.refusals;
  }

  add({task, run}: ManagedRun, reason: string): void {
    const refusals = [...this.refusals, {task, run, reason}];
    this.refusals = refusals.slice(-MAX_REFUSALS);
  }
}
