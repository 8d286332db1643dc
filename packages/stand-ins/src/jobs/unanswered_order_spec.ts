import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time in which an order reaches a worker, but is not repeated yet. */
const ORDER_MILLISECONDS = 100;

/** Time after which no renewal is waiting for an ending any more. */
const WAIT_MILLISECONDS = 400;
/** Time in which the order is repeated after that. */
const REPETITION_MILLISECONDS = 600;

/** A job whose first order the worker has received but not answered. */
async function openWithUnansweredOrder() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  worker.starts.next = ['late'];
  const deadline = fleet.clock.now() + 3_000;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ORDER_MILLISECONDS);
  return {fleet, owner, worker};
}

describe('a start order without an answer', () => {
  describe('that the worker carried out', test => {
    test('is not ordered anew when its run has ended before the repetition', async () => {
      const {fleet, owner, worker} = await openWithUnansweredOrder();
      worker.applyLate();
      worker.end('j.0.0.0', 'done');
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.is(owner.owner.status('j'), 'complete');
    });

    test('is not ordered anew when the repetition is answered before the end is listed', async () => {
      const {fleet, owner, worker} = await openWithUnansweredOrder();
      worker.renewals.always = 'lost';
      await fleet.pass(WAIT_MILLISECONDS);
      worker.applyLate();
      worker.end('j.0.0.0', 'done');
      await fleet.pass(REPETITION_MILLISECONDS);
      worker.renewals.always = 'answered';
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.is(owner.owner.status('j'), 'complete');
    });
  });
});
