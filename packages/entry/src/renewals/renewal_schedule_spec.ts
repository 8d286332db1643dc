import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {RenewalSchedule} from './renewal_schedule.js';

const INTERVAL_MILLISECONDS = 500;
const AGENTS = ['a', 'b', 'c'];

/** A schedule whose first interval has begun. */
function createSchedule() {
  const clock = new ManualClock();
  const schedule = new RenewalSchedule(clock, INTERVAL_MILLISECONDS);
  schedule.take(AGENTS);
  return {clock, schedule};
}

describe('schedule of renewals', () => {
  describe('between two intervals', test => {
    test('has only the agents due for which something has changed', () => {
      const {schedule} = createSchedule();
      schedule.makeDue('b');
      assert.equal(schedule.take(AGENTS), {isInterval: false, due: ['b']});
      assert.equal(schedule.take(AGENTS), {isInterval: false, due: []});
    });

    test('has all agents due once after a change for all', () => {
      const {schedule} = createSchedule();
      schedule.makeAllDue();
      assert.equal(schedule.take(AGENTS).due, AGENTS);
      assert.equal(schedule.take(AGENTS).due, []);
    });
  });

  describe('at an interval', test => {
    test('has all agents due, however often some were due before', async () => {
      const {clock, schedule} = createSchedule();
      await clock.advance(INTERVAL_MILLISECONDS / 2);
      schedule.makeDue('b');
      schedule.take(AGENTS);
      await clock.advance(INTERVAL_MILLISECONDS / 2);
      assert.equal(schedule.take(AGENTS), {isInterval: true, due: AGENTS});
    });
  });
});
