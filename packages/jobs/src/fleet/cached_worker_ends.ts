import type {Resources} from '@chicoryspring/contracts';
import type {ExpectedEnd} from './expected_end_types.js';
import type {WorkerEnds} from './worker_ends_types.js';
import type {WorkerView} from './worker_view_types.js';

/** Time for which expected ends are kept while the free capacity is the same. */
const MAX_AGE_MILLISECONDS = 1_000;
/** Workers that are kept; more are those of earlier fleets. */
const MAX_WORKERS = 4_000;

interface CachedEnds {
  readonly madeAt: number;
  readonly free: Resources;
  readonly ends: readonly ExpectedEnd[];
}

/** Keeps the expected ends of each worker until its runs change. */
export class CachedWorkerEnds implements WorkerEnds {
  private readonly cached = new Map<string, CachedEnds>();

  constructor(private readonly source: WorkerEnds) {}

  endsOn(view: WorkerView, now: number): readonly ExpectedEnd[] {
    const {agent, free} = view;
    const known = this.cached.get(agent);
    const isRecent = known && now - known.madeAt < MAX_AGE_MILLISECONDS;
    if (isRecent && isSame(known.free, free)) return known.ends;
    const ends = this.source.endsOn(view, now);
    if (this.cached.size >= MAX_WORKERS) this.cached.clear();
    this.cached.set(agent, {madeAt: now, free, ends});
    return ends;
  }
}

function isSame(left: Resources, right: Resources): boolean {
  return (
    left.processors === right.processors &&
    left.memoryMebibytes === right.memoryMebibytes &&
    left.accelerators === right.accelerators
  );
}
