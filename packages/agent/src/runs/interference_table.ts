import type {InterferenceRow} from '@chicoryspring/jobs/interference/interference_row_types.js';

/** Value for a pair of images that the owner has no estimate for. */
const DEFAULT_INTERFERENCE = 0;

/**
 * The estimated interference between images, as the owner reports it.
 *
 * A value is the headroom that a latency-critical run loses to best-effort runs
 * that use all processors of the worker.
 */
export class InterferenceTable {
  private readonly lossByPair = new Map<string, number>();

  merge(rows: readonly InterferenceRow[]): void {
    for (const {serving, filling, harm} of rows) {
      this.lossByPair.set(`${serving}/${filling}`, harm);
    }
  }

  /** All known values. */
  get rows(): readonly InterferenceRow[] {
    return [...this.lossByPair].map(([key, harm]) => {
      const [serving = '', filling = ''] = key.split('/');
      return {serving, filling, harm};
    });
  }

  get(latencyCriticalImage: string, bestEffortImage: string): number {
    return (
      this.lossByPair.get(`${latencyCriticalImage}/${bestEffortImage}`) ??
      DEFAULT_INTERFERENCE
    );
  }
}
