import type {ExpectedEnd} from './expected_end_types.js';
import type {WorkerEnds} from './worker_ends_types.js';
import type {WorkerView} from './worker_view_types.js';

/** Keeps the expected ends of each worker for one placement round. */
export class CachedWorkerEnds implements WorkerEnds {
  private readonly ends = new Map<string, readonly ExpectedEnd[]>();

  constructor(private readonly source: WorkerEnds) {}

  /** Begins a round. */
  clear(): void {
    this.ends.clear();
  }

  endsOn(view: WorkerView, now: number): readonly ExpectedEnd[] {
    const known = this.ends.get(view.agent);
    if (known) return known;
    const ends = this.source.endsOn(view, now);
    this.ends.set(view.agent, ends);
    return ends;
  }
}
