import type {InterferenceRow} from '@chicoryspring/jobs';

/** Assumed of a pair of images of which the owner has said nothing. */
const DEFAULT_INTERFERENCE = 0;

/** What the owner has learned of how images disturb each other. */
export class InterferenceTable {
  private readonly lossByPair = new Map<string, number>();

  merge(rows: readonly InterferenceRow[]): void {
    for (const {serving, filling, harm} of rows) {
      this.lossByPair.set(`${serving}/${filling}`, harm);
    }
  }

  /** Everything that was learned. */
  get rows(): readonly InterferenceRow[] {
    return [...this.lossByPair].map(([key, harm]) => {
      const [serving = '', filling = ''] = key.split('/');
      return {serving, filling, harm};
    });
  }

  get(serving: string, filling: string): number {
    return this.lossByPair.get(`${serving}/${filling}`) ?? DEFAULT_INTERFERENCE;
  }
}
