import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {GangCheckpointSoak} from './gang_checkpoint_soak.js';

const SEEDS = Array.from({length: 20}, (_, number) => number + 1);

describe('a gang', () => {
  describe('while workers crash, owners change and reports are late', test => {
    for (const seed of SEEDS) {
      test(`starts each run from one checkpoint and ends once, seed ${seed}`, async () => {
        const soak = new GangCheckpointSoak(seed);
        const state = await soak.run();
        const {history} = soak.fleet;
        assert.equal(history.dividedRuns, []);
        assert.is(state, 'complete');
        assert.equal(history.concurrentRuns, []);
        assert.equal(history.repeatedRuns, []);
      });
    }
  });
});
