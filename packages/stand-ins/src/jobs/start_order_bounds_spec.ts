import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 100;
/** Time for which an agent may keep runs alive after an owner's renewal. */
const PERMISSION_MILLISECONDS = 2_500;

/** One owner, and one agent with its worker. */
async function open() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (id: string, count = 1) => {
    const deadline = clock.now() + ROUND_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, {count}), deadline));
  };
  return {fleet, history, owner, worker, agent, link, submit};
}

describe('start order bounds', () => {
  describe('an agent that is on no durable list yet', test => {
    test('gets no run, since the next owner would not wait for it', async () => {
      const {fleet, owner, worker, submit} = await open();
      await submit('j', 8);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 4);
      fleet.store.isDown = true;
      const late = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('b', late), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(late.began, []);
      fleet.store.isDown = false;
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(late.running.size, 4);
    });
  });

  describe('an order that arrives once the permission has ended that its agent had', test => {
    test('is not carried out beside the next order', async () => {
      const {fleet, history, owner, agent, link, submit} = await open();
      // The permission was sent over 100 ms before the orders.
      await fleet.pass(5 * STEP_MILLISECONDS);
      link.peer.delayMilliseconds = PERMISSION_MILLISECONDS - STEP_MILLISECONDS;
      await submit('j', 4);
      await fleet.pass(STEP_MILLISECONDS);
      const other = new FakeRunWorker(fleet.clock, history);
      fleet.link(fleet.startAgent('b', other), owner);
      await fleet.pass(STEP_MILLISECONDS);
      link.close();
      fleet.link(agent, owner);
      await submit('k');
      await fleet.pass(2 * PERMISSION_MILLISECONDS);
      assert.ok(other.running.has('k.0.0.0'), 'runs are packed there');
      assert.ok(other.running.size > 1, 'the orders were void');
      assert.equal(history.concurrentRuns, []);
    });
  });
});
