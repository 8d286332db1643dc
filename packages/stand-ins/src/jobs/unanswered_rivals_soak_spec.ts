import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';

const SEEDS = RivalOwnersSoak.seeds(6);
/** An agent that was cut off first joins again, then its runs may expire. */
const RECOVERY_MILLISECONDS = 45_000;

describe('rival owners of jobs whose orders to workers get no answer', () => {
  describe('and that take the shards over from each other', test => {
    for (const seed of SEEDS) {
      test(`start no task twice, seed ${seed}`, async () => {
        const {unansweredTakeover} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(
          seed,
          unansweredTakeover,
          RECOVERY_MILLISECONDS,
        );
      });
    }
  });

  describe('and that are suspended and hand shards over', test => {
    for (const seed of SEEDS) {
      test(`start no task twice, seed ${seed}`, async () => {
        const {unansweredSuspension} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(
          seed,
          unansweredSuspension,
          RECOVERY_MILLISECONDS,
        );
      });
    }
  });
});
