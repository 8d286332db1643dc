import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';

const SEEDS = RivalOwnersSoak.seeds(8);
/** An agent that was cut off first joins again, then its runs may expire. */
const RECOVERY_MILLISECONDS = 45_000;

describe('rival owners of jobs in windows without answers of workers', () => {
  describe('that lose the store and then their agents', test => {
    for (const seed of SEEDS) {
      test(`start no task twice, seed ${seed}`, async () => {
        const {unansweredWindow} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(
          seed,
          unansweredWindow,
          RECOVERY_MILLISECONDS,
        );
      });
    }
  });
});
