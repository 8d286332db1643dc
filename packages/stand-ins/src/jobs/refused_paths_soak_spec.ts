import * as assert from 'uvu/assert';
import {createSeededRandom, describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {RIVAL_OWNERS_TROUBLES} from './rival_owners_troubles.js';
import {UnreliableWorkers} from './unreliable_workers.js';

const SEEDS = RivalOwnersSoak.seeds(6);
const REFUSAL_PROBABILITY = 0.006;
const TROUBLE_MILLISECONDS = 50_000;
/** Time without trouble, in which agents join again and every job can end. */
const RECOVERY_MILLISECONDS = 45_000;

describe('paths that refuse connections to unreliable workers', () => {
  describe('under owners that stay', test => {
    for (const seed of SEEDS) {
      test(`let no task run twice, seed ${seed}`, async () => {
        const random = createSeededRandom(seed);
        const workers = new UnreliableWorkers(random, REFUSAL_PROBABILITY);
        await workers.start();
        await workers.pass(TROUBLE_MILLISECONDS, true);
        workers.recover();
        await workers.pass(RECOVERY_MILLISECONDS, false);
        const {history} = workers.fleet;
        assert.equal(history.repeatedRuns, []);
        assert.equal(history.concurrentRuns, []);
        assert.equal(workers.unfinished, []);
        assert.ok(workers.acceptedCount > 0);
      });
    }
  });

  describe('under rival owners', test => {
    for (const seed of SEEDS) {
      test(`let no task run twice, seed ${seed}`, async () => {
        const {refusedSuspension} = RIVAL_OWNERS_TROUBLES;
        await RivalOwnersSoak.run(
          seed,
          refusedSuspension,
          RECOVERY_MILLISECONDS,
        );
      });
    }
  });
});
