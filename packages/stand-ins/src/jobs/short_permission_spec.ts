import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {openReplacedOwner} from './replaced_owner_fixture.js';

const STEP_MILLISECONDS = 100;
/** Time that calls to the agent take; an owner waits 2 s for the answer. */
const SLOW_LINK_MILLISECONDS = 1_700;
/** Just less than the time for which an entry counts on its lease. */
const LATE_ANSWER_MILLISECONDS = 1_950;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const TASK = 'j.0.0.0';

/** A run of an earlier owner, and a new owner with a slow link to its agent. */
async function openWithNewOwner() {
  const opened = await openReplacedOwner({isAgentLinked: true});
  opened.link.peer.delayMilliseconds = SLOW_LINK_MILLISECONDS;
  return opened;
}

describe('a new owner whose first permission is shorter than that of the earlier one', () => {
  describe('and which loses the agent once it has reported', test => {
    test('starts no run beside that of the earlier owner', async () => {
      const {fleet, owner, next, other, link} = await openWithNewOwner();
      next.delayProof(LATE_ANSWER_MILLISECONDS);
      owner.kill();
      await fleet.run(next.acquire());
      await fleet.pass(STEP_MILLISECONDS);
      next.loseLease();
      await fleet.pass(SLOW_LINK_MILLISECONDS);
      link.close();
      next.regainLease();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
