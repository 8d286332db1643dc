import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import {WriteRefusingStore} from './write_refusing_store.js';

/** Time in which an order reaches a worker and is reported. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time in which a task runs again once the trouble is over. */
const CALM_MILLISECONDS = 7_000;
const TASK = 'j.0.0.0';

describe('an owner whose writes alone the store refuses', () => {
  describe('since it has gained the shards, beside an agent that is new', test => {
    test('starts a lasting task again on the agents of the list', async () => {
      const fleet = new JobFleetFixture();
      const {clock, history} = fleet;
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(clock, history);
      const agent = fleet.startAgent('a', worker);
      fleet.link(agent, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      const job = fleet.job('j', {isLasting: true});
      const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(job, deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      owner.kill();
      const store = new WriteRefusingStore(fleet.store);
      const next = await fleet.startOwner('two', {store});
      store.isRefusing = true;
      fleet.link(agent, next);
      const other = new FakeRunWorker(clock, history);
      fleet.link(fleet.startAgent('b', other), next);
      await fleet.pass(ROUND_MILLISECONDS);
      worker.end(TASK, 'stopped');
      await fleet.pass(CALM_MILLISECONDS);
      assert.ok(worker.running.has(TASK));
      assert.equal(other.began, [], 'it is not on the list');
      assert.equal(history.concurrentRuns, []);
    });
  });
});
