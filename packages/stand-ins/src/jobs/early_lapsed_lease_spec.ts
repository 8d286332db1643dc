import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {openReplacedOwner} from './replaced_owner_fixture.js';

/** Time for which an entry counts on its lease after a renewal. */
const ENTRY_LEASE_MILLISECONDS = 2_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const TASK = 'j.0.0.0';

describe('an owner that the store has cut off', () => {
  describe('whose keys are taken away at once', test => {
    test('keeps no run beside one of the next owner', async () => {
      const {fleet, owner, next, other} = await openReplacedOwner({
        isAgentLinked: false,
      });
      owner.lapseUnnoticed();
      await fleet.run(next.acquire());
      await fleet.pass(ENTRY_LEASE_MILLISECONDS);
      owner.noticeLoss();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
