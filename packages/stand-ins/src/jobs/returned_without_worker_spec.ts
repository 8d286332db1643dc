import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time in which an agent notices that a worker that left is gone. */
const LEAVING_MILLISECONDS = 1_500;
const TASK = 'j.0.0.0';

describe('an agent whose worker left while it had no link', () => {
  describe('that reports so to the next owner', test => {
    test('does not hold up the jobs of that owner', async () => {
      const fleet = new JobFleetFixture();
      const {clock, history} = fleet;
      const owner = await fleet.startOwner('owner');
      const worker = new FakeRunWorker(clock, history);
      const leaving = fleet.startAgent('a', worker);
      const link = fleet.link(leaving, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      link.close();
      leaving.agent.deregisterWorker();
      worker.exit();
      await fleet.pass(LEAVING_MILLISECONDS);
      assert.is(leaving.agent.session, undefined);
      owner.kill();
      const next = await fleet.startOwner('owner');
      const other = new FakeRunWorker(clock, history);
      fleet.link(leaving, next);
      fleet.link(fleet.startAgent('b', other), next);
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(next.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(other.running.has(TASK));
    });
  });
});
