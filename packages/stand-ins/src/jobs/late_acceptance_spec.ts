import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;

/** An owner that has rejected a job whose record became durable after that. */
async function open() {
  const fleet = new JobFleetFixture();
  const entry = await fleet.startOwner('one');
  const {owner} = entry;
  const worker = new FakeRunWorker(fleet.clock);
  fleet.link(fleet.startAgent('a', worker), entry);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async () => {
    const deadline = fleet.clock.now() + ROUND_MILLISECONDS;
    return await fleet.run(owner.submit(fleet.job('j', {}), deadline));
  };
  fleet.storeFault = 'lost';
  const kind = await submit().then(
    () => 'accepted',
    thrown => toChicoryspringError(thrown).kind,
  );
  assert.is(kind, 'store-outcome-unknown');
  fleet.storeFault = 'none';
  await fleet.pass(2 * ROUND_MILLISECONDS);
  return {fleet, owner, worker, submit};
}

describe('a job that is durable after its caller was rejected', () => {
  describe('and that the caller submits again', test => {
    test('runs', async () => {
      const {fleet, worker, submit} = await open();
      await submit();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });

  describe('and of which nobody asks', test => {
    test('runs', async () => {
      const {worker} = await open();
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });
});
