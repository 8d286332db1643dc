import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';
import {UnreliableWorkersSoak} from './unreliable_workers_soak.js';

const SEEDS = RivalOwnersSoak.seeds(6);
const TROUBLE = {refusalProbability: 0.006};
/** Time without trouble, in which agents join again and every job can end. */
const RECOVERY_MILLISECONDS = 45_000;

describe('paths that refuse connections to unreliable workers', () => {
  describe('under owners that stay', test => {
    for (const seed of SEEDS) {
      test(`let no task run twice, seed ${seed}`, async () => {
        await UnreliableWorkersSoak.run(seed, TROUBLE);
      });
    }
  });

  describe('under rival owners', test => {
    for (const seed of SEEDS) {
      test(`let no task run twice, seed ${seed}`, async () => {
        const {refusal} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(seed, refusal, RECOVERY_MILLISECONDS);
      });
    }
  });
});
