import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** More than the length of any lease. */
const LEASE_MILLISECONDS = 8_000;
/** Renewals without an answer for which there is time in one lease. */
const UNANSWERED_RENEWALS = 6;
const TASK = 'j.0.0.0';

describe('worker that leaves calls unanswered', () => {
  describe('and answers one before its lease expires', test => {
    test('keeps its runs', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(fleet.clock, fleet.history);
      fleet.link(fleet.startAgent('a', worker), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      const job = fleet.job('j', {isLasting: true});
      await fleet.run(owner.owner.submit(job, deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has(TASK));
      const lost: CallFate = 'lost';
      worker.renewals.next = Array.from(
        {length: UNANSWERED_RENEWALS},
        () => lost,
      );
      await fleet.pass(2 * LEASE_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.ok(worker.running.has(TASK));
    });
  });
});
