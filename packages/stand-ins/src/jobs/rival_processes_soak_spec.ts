import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';

const SEEDS = RivalOwnersSoak.seeds(12);
/** Fewer, since suspended entries take longer. */
const SUSPENSION_SEEDS = RivalOwnersSoak.seeds(6);
/** An agent that was cut off first joins again, then its runs may expire. */
const RECOVERY_MILLISECONDS = 45_000;

describe('rival owners of jobs', () => {
  describe('whose agents and workers start again as well', test => {
    for (const seed of SEEDS) {
      test(`start no task twice, seed ${seed}`, async () => {
        const {restart} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(seed, restart, RECOVERY_MILLISECONDS);
      });
    }
  });

  describe('that are suspended and hand shards over to each other', test => {
    for (const seed of SUSPENSION_SEEDS) {
      test(`start no task twice, seed ${seed}`, async () => {
        const {suspension} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(seed, suspension, RECOVERY_MILLISECONDS);
      });
    }
  });
});
