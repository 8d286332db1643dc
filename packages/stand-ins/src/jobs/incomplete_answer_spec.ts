import * as assert from 'uvu/assert';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {LinkMethodRegistry, runStartMethod} from '@chicoryspring/links';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {MemoryLink} from './memory_link.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;

describe('a start order', () => {
  describe('that was carried out and whose answer is incomplete', test => {
    test('is not ordered from another worker', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const ends = new Map<string, MemoryLink>();
      const workers = ['a', 'b'].map(name => {
        const worker = new FakeRunWorker(fleet.clock, fleet.history);
        const agent = fleet.startAgent(name, worker);
        const registry = new LinkMethodRegistry();
        agent.agent.serve(registry);
        registry.register(runStartMethod, async (input, link) => {
          await agent.registry.handle(runStartMethod.name, input, link);
          // The report that lists the run doesn't arrive in time.
          ends.get(name)!.isCut = true;
          throw new ChicoryspringError('answer-incomplete', 'no version');
        });
        ends.set(name, fleet.link({...agent, registry}, owner));
        return worker;
      });
      await fleet.pass(ROUND_MILLISECONDS);
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
      assert.is(workers.flatMap(one => one.began).length, 1);
    });
  });
});
