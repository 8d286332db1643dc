import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Times for which the path to the worker refuses connections. */
const REFUSALS_MILLISECONDS = [700, 1_000, 2_000];
/** Time from the first refusal to the end of the run. */
const END_MILLISECONDS = 100;
/** Time in which a task is ordered and begins; it may be blamed for a crash. */
const BEGIN_MILLISECONDS = 200;
/** Time in which a lease expires that is not extended, and a task begins. */
const EXPIRY_MILLISECONDS = 8_500;
const TASK = 'j.0.0.0';

/** A worker whose path can refuse connections; another worker has room. */
async function openWithTask(step: Partial<JobStep> = {}) {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', step), deadline));
  await fleet.pass(BEGIN_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  fleet.link(fleet.startAgent('b', other), owner);
  return {fleet, agent, owner, worker, other};
}

/** Lets connections to a worker be refused; one of its runs may end then. */
async function refuse(
  fleet: JobFleetFixture,
  worker: FakeRunWorker,
  milliseconds: number,
  endingTask?: string,
) {
  worker.isRefusing = true;
  await fleet.pass(END_MILLISECONDS);
  if (endingTask) worker.end(endingTask, 'done');
  await fleet.pass(milliseconds - END_MILLISECONDS);
  worker.isRefusing = false;
}

describe('path that refuses connections', () => {
  describe('to a worker that goes on with its runs', test => {
    for (const milliseconds of REFUSALS_MILLISECONDS) {
      test(`starts no task again that ends done behind it, for ${milliseconds} ms`, async () => {
        const {fleet, owner, worker, other} = await openWithTask();
        await refuse(fleet, worker, milliseconds, TASK);
        await fleet.pass(2 * ROUND_MILLISECONDS);
        assert.equal(worker.acknowledgedDone, [TASK]);
        assert.equal(fleet.history.repeatedRuns, []);
        assert.is(worker.began.length + other.began.length, 1);
        assert.is(owner.owner.status('j'), 'complete');
      });

      test(`starts no task beside its run, for ${milliseconds} ms`, async () => {
        const {fleet, worker} = await openWithTask({isLasting: true});
        await refuse(fleet, worker, milliseconds);
        await fleet.pass(2 * ROUND_MILLISECONDS);
        assert.equal([...worker.running.keys()], [TASK]);
        assert.equal(fleet.history.concurrentRuns, []);
      });

      test(`counts no crash against a run that has begun, for ${milliseconds} ms`, async () => {
        const {fleet, owner, worker, other} = await openWithTask();
        await refuse(fleet, worker, milliseconds);
        await fleet.pass(BEGIN_MILLISECONDS);
        await refuse(fleet, other, milliseconds);
        await fleet.pass(ROUND_MILLISECONDS);
        assert.equal(fleet.log.linesOf('worker crashed'), []);
        assert.is(owner.owner.status('j'), 'running');
      });
    }
  });

  describe('for longer than the lease of a worker that goes on', test => {
    test('starts its task elsewhere, not before the lease has expired', async () => {
      const {fleet, worker, other} = await openWithTask({isLasting: true});
      await refuse(fleet, worker, EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'its lease has expired');
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('starts a task elsewhere that it was ordered and never got', async () => {
      const {fleet, owner, worker, other} = await openWithTask();
      worker.isRefusing = true;
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('k', {}), deadline));
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.ok(fleet.log.linesOf('start unanswered').length > 0);
      assert.equal([...other.running.keys()], ['k.0.0.0']);
      assert.equal([...worker.running.keys()], [TASK]);
    });
  });

  describe('to a worker that has deregistered, but goes on', test => {
    for (const milliseconds of REFUSALS_MILLISECONDS) {
      test(`starts no task beside its run, for ${milliseconds} ms`, async () => {
        const {fleet, agent, worker, other} = await openWithTask();
        agent.agent.deregisterWorker();
        await refuse(fleet, worker, milliseconds);
        await fleet.pass(EXPIRY_MILLISECONDS);
        assert.ok(other.running.has(TASK), 'its lease has expired');
        assert.equal(fleet.history.concurrentRuns, []);
      });
    }
  });
});
