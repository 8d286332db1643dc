import * as assert from 'uvu/assert';
import {ShardReconciliation} from '@chicoryspring/jobs';
import {describe} from '@chicoryspring/testing';
import {ShardReconciliations} from './shard_reconciliations.js';

const GAINED_AT = 20_000;
const LATER_GAINED_AT = 21_000;
const GRACE_EXPIRY = 91_020;
const PERMISSION_MILLISECONDS = 2_500;

describe('the reconciliations of gained shards', () => {
  describe('while an agent has not reported', test => {
    // Its runs would go on after the wait, which gets shorter as the owner learns.
    test('give it no permission that outlasts the shortest wait', () => {
      const unreported = [GAINED_AT, LATER_GAINED_AT].map(
        gainedAt => new ShardReconciliation(gainedAt, () => GRACE_EXPIRY),
      );
      const now = LATER_GAINED_AT;
      const limit = ShardReconciliations.permissionLimit(unreported, now);
      assert.is(limit, GAINED_AT + PERMISSION_MILLISECONDS);
    });
  });
});
