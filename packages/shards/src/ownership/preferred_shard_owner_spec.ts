import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {preferredShardOwner} from './preferred_shard_owner.js';

const OPTIONS = {shardCount: 4, ownerGroupCount: 1, isOwnerKept: true};

describe('preferred shard owner', () => {
  describe('with an owner key of a shard that the fleet has not', test => {
    test('is the owner of a shard of the group', () => {
      const owners = new Map([
        [4_000, 'b'],
        [2, 'a'],
      ]);
      const view = {entries: ['a', 'b'], candidates: ['a', 'b'], owners};
      assert.is(preferredShardOwner(0, view, OPTIONS), 'a');
    });
  });
});
