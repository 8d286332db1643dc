import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {CrashingFleet} from './spec/crashing_fleet.js';

const WORKERS = 2;
const TASK = 'a';
const START_MILLISECONDS = 5_000;
/** Longer than every lease: 6 s of an owner and 3 s of a worker. */
const EXPIRY_MILLISECONDS = 30_000;

describe('a worker that is gone for good while its agent stays', () => {
  describe('after its lease has expired', test => {
    test('has its task placed on another one', async () => {
      const fleet = new CrashingFleet(WORKERS, new Map());
      await fleet.open();
      fleet.submit(TASK);
      await fleet.pass(START_MILLISECONDS);
      const gone = fleet.workers.find(one => one.running.has(TASK));
      assert.ok(gone);
      gone.isReachable = false;
      gone.restart();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.is(fleet.runsOf(TASK), 1);
      fleet.close();
    });
  });
});
