import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** More than the time after which an agent counts as silent. */
const SHORT_SILENCE_MILLISECONDS = 1_200;
/** Time for which an entry counts on its lease after a renewal. */
const ENTRY_LEASE_MILLISECONDS = 2_000;
/** An outage of the store that is longer than the lease of any run. */
const OUTAGE_MILLISECONDS = 14_000;
const TASK = 'j.0.0.0';

/** An agent with a run, whose link was closed for a moment. */
async function openReturned(beginOutage: (fleet: JobFleetFixture) => void) {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock, fleet.history);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  link.close();
  await fleet.pass(SHORT_SILENCE_MILLISECONDS);
  beginOutage(fleet);
  fleet.link(agent, owner);
  await fleet.pass(ENTRY_LEASE_MILLISECONDS);
  owner.enterGracePeriod();
  await fleet.pass(OUTAGE_MILLISECONDS);
  return worker;
}

describe('a run whose agent was without a link for a moment', () => {
  describe('while the store refuses all calls after that', test => {
    test('goes on', async () => {
      const worker = await openReturned(fleet => {
        fleet.storeFault = 'refused';
      });
      assert.ok(worker.running.has(TASK));
    });
  });

  describe('while the store answers no call after that', test => {
    test('goes on', async () => {
      const worker = await openReturned(fleet => {
        fleet.storeFault = 'dropped';
      });
      assert.ok(worker.running.has(TASK));
    });
  });
});
