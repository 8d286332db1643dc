import type {InterferenceRow} from '@chicoryspring/jobs';

/** Assumed of a pair of images of which the owner has said nothing. */
const UNKNOWN_HARM = 0;

/** What the owner has learned of how images disturb each other. */
export class HarmTable {
  private readonly harms = new Map<string, number>();

  learn(rows: readonly InterferenceRow[]): void {
    for (const {serving, filling, harm} of rows) {
      this.harms.set(`${serving}/${filling}`, harm);
    }
  }

  /** Everything that was learned. */
  get rows(): readonly InterferenceRow[] {
    return [...this.harms].map(([key, harm]) => {
      const [serving = '', filling = ''] = key.split('/');
      return {serving, filling, harm};
    });
  }

  harm(serving: string, filling: string): number {
    return this.harms.get(`${serving}/${filling}`) ?? UNKNOWN_HARM;
  }
}
