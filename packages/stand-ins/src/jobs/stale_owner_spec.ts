import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const TASK = 'j.0.0.0';

describe('an owner without its lease', () => {
  describe('that does not know a job of the next owner', test => {
    test('settles no ending of it, although the agent knows no later owner', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(fleet.clock, fleet.history);
      const agent = fleet.startAgent('a', worker);
      owner.lapseUnnoticed();
      const next = await fleet.startOwner('two');
      const link = fleet.link(agent, next);
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(next.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      owner.loseLease();
      link.close();
      agent.kill();
      worker.end(TASK, 'done');
      const restarted = fleet.startAgent('a', worker);
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(restarted, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 0);
      fleet.link(restarted, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(next.owner.status('j'), 'complete');
      assert.is(worker.began.length, 1);
    });
  });
});
