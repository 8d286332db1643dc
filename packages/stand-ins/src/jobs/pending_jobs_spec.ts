import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and is reported. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;

/** A job of one task whose first start orders don't reach the worker. */
async function openWithLostStarts() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  worker.starts.next = ['lost', 'lost'];
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  const pending = () => owner.owner.pending(fleet.queue);
  return {fleet, owner, worker, pending};
}

describe('pending jobs', () => {
  describe('with an order that no worker has confirmed', test => {
    test('are counted until a task has started', async () => {
      const {fleet, owner, worker, pending} = await openWithLostStarts();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.began.length, 0);
      assert.is(pending(), 1);
      assert.is(owner.owner.status('j'), 'queued');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.is(pending(), 0);
      assert.is(owner.owner.status('j'), 'running');
    });
  });
});
