import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which an end that hears nothing closes the link. */
const LIVENESS_MILLISECONDS = 3_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const TASK = 'j.0.0.0';

describe('an agent that hears a new owner but is not heard', () => {
  describe('until the owner closes the link', test => {
    test('keeps no run past the time at which the owner gives it up', async () => {
      const fleet = new JobFleetFixture();
      const {clock, history} = fleet;
      const owner = await fleet.startOwner('one');
      const next = await fleet.startOwner('two', {shards: []});
      const worker = new FakeRunWorker(clock, history);
      const other = new FakeRunWorker(clock, history);
      const agent = fleet.startAgent('a', worker);
      fleet.link(agent, owner);
      const link = fleet.link(agent, next);
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(fleet.startAgent('b', other), next);
      link.isCut = true;
      owner.kill();
      await fleet.run(next.acquire());
      await fleet.pass(LIVENESS_MILLISECONDS);
      link.close();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(history.concurrentRuns, []);
    });
  });
});
