import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;

/** A worker with four processors and two tasks of one processor each. */
async function open() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const started = fleet.startAgent('a', worker);
  const link = fleet.link(started, owner);
  const submit = async (id: string, count: number) => {
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, {count}), deadline));
  };
  const describeCapacity = async (processors: number) => {
    const description = fleet.describeWorker('a', 'a@1');
    const capacity = {...description.capacity, processors};
    const changed = {...description, capacity};
    await started.agent.registerWorker(changed, () => worker);
  };
  await fleet.pass(ROUND_MILLISECONDS);
  await submit('j', 2);
  await fleet.pass(ROUND_MILLISECONDS);
  assert.is(worker.running.size, 2);
  return {fleet, owner, worker, link, submit, describeCapacity};
}

describe('changing capacity', () => {
  describe('that shrinks below what runs', test => {
    test('starts nothing, and what runs goes on', async () => {
      const {fleet, worker, submit, describeCapacity} = await open();
      await describeCapacity(1);
      await submit('k', 1);
      await fleet.pass(4 * ROUND_MILLISECONDS);
      assert.equal([...worker.running.keys()], ['j.0.0.0', 'j.0.0.1']);
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker.running.keys()], ['j.0.0.1']);
      worker.end('j.0.0.1', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker.running.keys()], ['k.0.0.0']);
    });

    test('lets the agent refuse what an owner ordered before it knew', async () => {
      const {fleet, worker, link, submit, describeCapacity} = await open();
      // The orders are on their way when the worker shrinks.
      link.peer.delayMilliseconds = ROUND_MILLISECONDS / 4;
      await submit('k', 2);
      await describeCapacity(3);
      await fleet.pass(4 * ROUND_MILLISECONDS);
      assert.is(worker.running.size, 3);
      assert.is(worker.began.length, 3);
    });
  });

  describe('that shrinks while a start order is unanswered', test => {
    test('starts it no more until there is room again', async () => {
      const {fleet, worker, submit, describeCapacity} = await open();
      worker.starts.next = ['lost'];
      await submit('k', 1);
      await fleet.pass(ROUND_MILLISECONDS / 4);
      await describeCapacity(2);
      await fleet.pass(4 * ROUND_MILLISECONDS);
      assert.is(worker.running.size, 2);
      assert.is(worker.began.length, 2);
      await describeCapacity(3);
      await fleet.pass(3 * ROUND_MILLISECONDS);
      assert.is(worker.running.size, 3);
    });
  });

  describe('with runs that are being stopped', test => {
    test('counts them until the worker has ended them', async () => {
      const {fleet, owner, worker, submit} = await open();
      worker.stops.next = ['lost', 'lost', 'lost', 'lost'];
      await fleet.run(owner.owner.cancel('j'));
      await submit('k', 4);
      await fleet.pass(ROUND_MILLISECONDS / 2);
      assert.is(worker.running.size, 4);
      await fleet.pass(4 * ROUND_MILLISECONDS);
      const all = ['k.0.0.0', 'k.0.0.1', 'k.0.0.2', 'k.0.0.3'];
      assert.equal([...worker.running.keys()].sort(), all);
    });
  });

  describe('that grows again', test => {
    test('is used', async () => {
      const {fleet, worker, submit, describeCapacity} = await open();
      await describeCapacity(2);
      await submit('k', 2);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 2);
      await describeCapacity(4);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 4);
    });
  });
});
