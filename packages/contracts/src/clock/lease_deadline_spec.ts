import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LeaseDeadline} from './lease_deadline.js';

const LEASE_MILLISECONDS = 2_000;

/** A lease renewed just now, and the time by which the time of day jumps. */
function open() {
  const clock = new ManualClock();
  const jump = {milliseconds: 0};
  const lease = new LeaseDeadline(clock, () => clock.now() + jump.milliseconds);
  lease.renew(lease.now(), LEASE_MILLISECONDS);
  return {clock, jump, lease};
}

describe('lease deadline', () => {
  describe('of a renewal', test => {
    test('counts from its sending', async () => {
      const {clock, lease} = open();
      const sending = lease.now();
      await clock.advance(LEASE_MILLISECONDS - 1);
      assert.is(lease.isHeld, true);
      lease.renew(sending, LEASE_MILLISECONDS);
      assert.is(lease.remainingMilliseconds, 1);
      await clock.advance(1);
      assert.is(lease.isHeld, false);
    });
  });

  describe('after a suspension, in which the steady clock stood still', test => {
    test('is not held until the next renewal', () => {
      const {jump, lease} = open();
      jump.milliseconds = LEASE_MILLISECONDS;
      assert.is(lease.isHeld, false);
      lease.renew(lease.now(), LEASE_MILLISECONDS);
      assert.is(lease.isHeld, true);
    });
  });

  describe('after the time of day has jumped back', test => {
    test('ends by the steady clock', async () => {
      const {clock, jump, lease} = open();
      jump.milliseconds = -LEASE_MILLISECONDS;
      await clock.advance(LEASE_MILLISECONDS);
      assert.is(lease.isHeld, false);
    });
  });
});
