import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LeaseWatch} from './lease_watch.js';

const LEASE_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 100;
const SUSPENSION_MILLISECONDS = 8_000;
/** Time that a call adds to the lease while it isn't known that it was refused. */
const UNSENT_MILLISECONDS = 1_000;
/** Time in which an answer that has arrived during a suspension is read. */
const ANSWER_MILLISECONDS = 300;

/** A watch over a lease that expires after its length, unless extended. */
function openWatch() {
  const clock = new ManualClock();
  const lease = {expiry: clock.now() + LEASE_MILLISECONDS};
  const closing = new AbortController();
  let expiryCount = 0;
  const watch = new LeaseWatch(lease, clock, () => (expiryCount += 1));
  void watch.run(closing.signal);
  const pass = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS)
      await clock.advance(STEP_MILLISECONDS);
  };
  return {clock, lease, closing, pass, isExpired: () => expiryCount > 0};
}

describe('lease watch', () => {
  describe('of a lease that nobody extends', test => {
    test('tells of its end at once', async () => {
      const {closing, pass, isExpired} = openWatch();
      await pass(LEASE_MILLISECONDS - STEP_MILLISECONDS);
      assert.is(isExpired(), false);
      await pass(STEP_MILLISECONDS);
      closing.abort();
      assert.is(isExpired(), true);
    });
  });

  describe('of a lease that a refused call did not extend', test => {
    test('tells of its end at once', async () => {
      const {lease, closing, pass, isExpired} = openWatch();
      lease.expiry -= UNSENT_MILLISECONDS;
      await pass(LEASE_MILLISECONDS - UNSENT_MILLISECONDS - STEP_MILLISECONDS);
      assert.is(isExpired(), false);
      await pass(2 * STEP_MILLISECONDS);
      closing.abort();
      assert.is(isExpired(), true);
    });
  });

  describe('in a process that was suspended at its end', test => {
    test('leaves time for an answer that extends it', async () => {
      const {clock, lease, closing, pass, isExpired} = openWatch();
      await clock.advance(SUSPENSION_MILLISECONDS);
      await pass(ANSWER_MILLISECONDS);
      lease.expiry = clock.now() + LEASE_MILLISECONDS;
      await pass(LEASE_MILLISECONDS - STEP_MILLISECONDS);
      closing.abort();
      assert.is(isExpired(), false);
    });

    test('tells of its end soon if there is none', async () => {
      const {clock, closing, pass, isExpired} = openWatch();
      await clock.advance(SUSPENSION_MILLISECONDS);
      await pass(2 * ANSWER_MILLISECONDS);
      closing.abort();
      assert.is(isExpired(), true);
    });
  });
});
