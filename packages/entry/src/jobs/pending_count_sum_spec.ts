import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {sumPendingCounts} from './pending_count_sum.js';

const SHARDS = 4;

describe('pending jobs of a queue', () => {
  describe('while a shard changes its owner', test => {
    test('are not counted, since its jobs would be missing', () => {
      const counts = [{pending: 22, shards: [0, 1]}];
      assert.throws(() => sumPendingCounts(counts, SHARDS), /2 of 4 shards/);
    });
  });

  describe('of several owners', test => {
    test('are added up once every shard is covered', () => {
      const counts = [
        {pending: 22, shards: [0, 1]},
        {pending: 28, shards: [2, 3]},
      ];
      assert.is(sumPendingCounts(counts, SHARDS), 50);
    });

    test('are added up with an entry of an earlier release', () => {
      const counts = [{pending: 22}, {pending: 28, shards: [2]}];
      assert.is(sumPendingCounts(counts, SHARDS), 50);
    });
  });
});
