import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time for which an entry counts on its lease after a renewal. */
const ENTRY_LEASE_MILLISECONDS = 2_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const TASK = 'j.0.0.0';

describe('an owner that the store has cut off', () => {
  describe('whose keys are taken away at once', test => {
    test('keeps no run beside one of the next owner', async () => {
      const fleet = new JobFleetFixture();
      const {clock, history} = fleet;
      const owner = await fleet.startOwner('one');
      const next = await fleet.startOwner('two', {shards: []});
      const worker = new FakeRunWorker(clock, history);
      const other = new FakeRunWorker(clock, history);
      fleet.link(fleet.startAgent('a', worker), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has(TASK));
      fleet.link(fleet.startAgent('b', other), next);
      owner.lapseUnnoticed();
      await fleet.run(next.acquire());
      await fleet.pass(ENTRY_LEASE_MILLISECONDS);
      owner.noticeLoss();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(history.concurrentRuns, []);
    });
  });
});
