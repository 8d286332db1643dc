import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {openReplacedOwner} from './replaced_owner_fixture.js';

/** Time after which an end that hears nothing closes the link. */
const LIVENESS_MILLISECONDS = 3_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const TASK = 'j.0.0.0';

describe('an agent that hears a new owner but is not heard', () => {
  describe('until the owner closes the link', test => {
    test('keeps no run past the time at which the owner gives it up', async () => {
      const {fleet, owner, next, other, link} = await openReplacedOwner({
        isAgentLinked: true,
      });
      link.isCut = true;
      owner.kill();
      await fleet.run(next.acquire());
      await fleet.pass(LIVENESS_MILLISECONDS);
      link.close();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
