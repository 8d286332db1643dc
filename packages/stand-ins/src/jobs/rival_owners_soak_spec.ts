import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';

/** Seeds that have failed: 112, an earlier owner settled an unknown job's ending. */
const REGRESSION_SEEDS = [112];
/** 35, a report that was asked for under an earlier ownership counted. */
const LINK_REGRESSION_SEEDS = [35];
const SEEDS = RivalOwnersSoak.seeds(12);
const RECOVERY_MILLISECONDS = 25_000;
/** An agent that was cut off first joins again, then its runs may expire. */
const LINK_RECOVERY_MILLISECONDS = 45_000;

describe('rival owners of jobs', () => {
  describe('over stores that lose and delay calls', test => {
    const {store} = RIVAL_OWNERS_TROUBLES;
    for (const seed of [...REGRESSION_SEEDS, ...SEEDS]) {
      test(`start no task after its acknowledged end, seed ${seed}`, async () => {
        await RivalOwnersSoak.run(seed, store, RECOVERY_MILLISECONDS);
      });
    }
  });

  describe('whose agents are cut off one way or both, or hear them late', test => {
    const {link} = RIVAL_OWNERS_TROUBLES;
    for (const seed of new Set([...LINK_REGRESSION_SEEDS, ...SEEDS])) {
      test(`start no task twice, seed ${seed}`, async () => {
        await RivalOwnersSoak.run(seed, link, LINK_RECOVERY_MILLISECONDS);
      });
    }
  });
});
