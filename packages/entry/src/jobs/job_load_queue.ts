import {TurnBudget, type Clock} from '@chicoryspring/contracts';
import {superviseLoop, type StateLog} from '@chicoryspring/observability';

/** Tasks and names of tasks that are loaded in one turn of the event loop. */
const MAX_TURN_COST = 2_500;

interface JobLoadQueueParts {
  readonly clock: Clock;
  readonly log: StateLog;
  /** Loads a job; returns its cost, in tasks and names of tasks. */
  readonly load: (id: string) => number;
  /** Called once every waiting job is loaded. */
  readonly onLoaded: () => void;
}

/** Loads the jobs of gained shards, a bounded part in each turn. */
export class JobLoadQueue {
  private readonly waitingIds = new Set<string>();
  private readonly budget = new TurnBudget(MAX_TURN_COST);
  private isLoading = false;

  constructor(private readonly parts: JobLoadQueueParts) {}

  /** Jobs that are not loaded yet. */
  get waiting(): ReadonlySet<string> {
    return this.waitingIds;
  }

  /** Adds jobs; loads at once what still fits into this turn. */
  add(ids: readonly string[]): void {
    for (const id of ids) this.waitingIds.add(id);
    if (this.isLoading || ids.length === 0) return;
    this.isLoading = true;
    void superviseLoop('job loading', () => this.loadAll(), this.parts);
  }

  /** Removes a job; returns whether it was waiting. */
  remove(id: string): boolean {
    return this.waitingIds.delete(id);
  }

  private async loadAll(): Promise<void> {
    for (const id of this.waitingIds) {
      if (this.budget.isSpent) await this.budget.waitForRoom();
      // It may have been loaded or removed since.
      if (!this.waitingIds.delete(id)) continue;
      this.budget.spend(this.parts.load(id));
    }
    this.isLoading = false;
    this.parts.onLoaded();
  }
}
