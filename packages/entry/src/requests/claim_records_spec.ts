import * as assert from 'uvu/assert';
import type {ShardRecord} from '@chicoryspring/shards';
import {ManualClock, describe} from '@chicoryspring/testing';
import {ClaimRecords} from './claim_records.js';

type Change = (current: ShardRecord | undefined) => ShardRecord | undefined;

describe('claim records', () => {
  describe('of a claim without an outcome', test => {
    test('expire too, since an owner may die before it records one', async () => {
      let stored: ShardRecord | undefined;
      const table = {
        update: async (_: string, change: Change) => (stored = change(stored)),
      };
      const clock = new ManualClock();
      await new ClaimRecords(table, clock).claim('claim-1', 'body', Infinity);
      assert.is(stored?.kind, 'claim');
      assert.ok((stored?.retentionDeadline ?? 0) > clock.now());
    });
  });
});
