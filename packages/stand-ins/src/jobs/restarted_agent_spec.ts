import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {SharedWorkerFixture} from './shared_worker_fixture.js';
import {ShiftedClock} from './shifted_clock.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which runs of an agent without contact are started elsewhere. */
const EXPIRY_MILLISECONDS = 9_100;
/** Time after which a silent worker counts as unresponsive, and more. */
const SILENT_MILLISECONDS = 2_500;
/** Links that open to an agent; with each its report has a higher version. */
const LINKS = 8;
const CLOCK_STEP_MILLISECONDS = 5_000;
/** More than the endings that a worker lists at once. */
const MANY_TASKS = 520;
const TINY = {processors: 0.001, memoryMebibytes: 1, accelerators: 0};
const STEP_MILLISECONDS = 300;
const LOST_OWNER = 0;
const OTHER_OWNER = 1;

/** A task of one of the owners, which runs on the shared worker. */
async function openWithTask() {
  const fixture = new SharedWorkerFixture();
  await fixture.open();
  const {fleet, worker, other} = fixture;
  await fleet.pass(ROUND_MILLISECONDS);
  const task = await fixture.submit(LOST_OWNER);
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(task));
  return {fixture, fleet, worker, other, task};
}

describe('restarted agent', () => {
  describe('with the lease of its earlier incarnation', test => {
    test('keeps no lease for an end that the owner has not heard of', async () => {
      const {fixture, fleet, worker, other, task} = await openWithTask();
      fixture.disconnect(LOST_OWNER);
      fixture.addOther();
      worker.end(task, 'done');
      fixture.restartAgent();
      fixture.connect(OTHER_OWNER);
      await fleet.pass(ROUND_MILLISECONDS);
      await fixture.submit(OTHER_OWNER, {isLasting: true});
      await fixture.submit(OTHER_OWNER, {isLasting: true});
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(task), 'its owner has given it up');
      fixture.connect(LOST_OWNER);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.repeatedRuns, []);
    });

    test('does not take the runs of a silent worker for lost', async () => {
      const {fixture, fleet, worker, other, task} = await openWithTask();
      fixture.restartAgent();
      fixture.addOther();
      await fleet.pass(ROUND_MILLISECONDS);
      for (let link = 0; link < LINKS; link += 1) fixture.connect(OTHER_OWNER);
      worker.isSilent = true;
      await fleet.pass(SILENT_MILLISECONDS);
      fixture.connect(LOST_OWNER);
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(task), 'its owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('with runs of an owner that makes no contact', test => {
    test('keeps the runs of the other owner', async () => {
      const {fixture, fleet, worker, task} = await openWithTask();
      const otherTask = await fixture.submit(OTHER_OWNER, {isLasting: true});
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker.running.keys()], [task, otherTask]);
      fixture.restartAgent();
      fixture.connect(OTHER_OWNER);
      await fleet.pass(2 * EXPIRY_MILLISECONDS);
      assert.equal([...worker.running.keys()], [otherTask]);
      assert.is(worker.began.length, 2);
    });

    test('gives their owner time to make contact', async () => {
      const {fixture, fleet, worker, task} = await openWithTask();
      const otherTask = await fixture.submit(OTHER_OWNER, {isLasting: true});
      await fleet.pass(ROUND_MILLISECONDS);
      fixture.restartAgent();
      fixture.connect(OTHER_OWNER);
      await fleet.pass(ROUND_MILLISECONDS);
      fixture.connect(LOST_OWNER);
      await fleet.pass(2 * EXPIRY_MILLISECONDS);
      assert.equal([...worker.running.keys()], [task, otherTask]);
      assert.is(worker.began.length, 2);
    });
  });

  describe('with more unsettled ends than its worker lists at once', test => {
    test('misses no end that the list has no room for', async () => {
      const {fixture, fleet, worker, task} = await openWithTask();
      await fixture.submit(OTHER_OWNER, {count: MANY_TASKS, resources: TINY});
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 1 + MANY_TASKS);
      fixture.disconnect(OTHER_OWNER);
      const others = [...worker.running.keys()].filter(one => one !== task);
      for (const one of [...others, task]) worker.end(one, 'done');
      fixture.addOther();
      await fleet.pass(STEP_MILLISECONDS);
      fixture.restartAgent();
      fixture.connect(LOST_OWNER);
      await fleet.pass(STEP_MILLISECONDS);
      fixture.connect(OTHER_OWNER);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.repeatedRuns, []);
      assert.is(worker.acknowledgedUpTo, 1 + MANY_TASKS);
    });
  });

  describe('after an order that the worker never got', test => {
    for (const setBackMilliseconds of [0, CLOCK_STEP_MILLISECONDS]) {
      test(`starts the task again, its clock set back ${setBackMilliseconds} ms`, async () => {
        const fixture = new SharedWorkerFixture();
        await fixture.open();
        const {fleet, worker} = fixture;
        for (let link = 0; link < LINKS; link += 1) fixture.connect(LOST_OWNER);
        await fleet.pass(ROUND_MILLISECONDS);
        worker.starts.always = 'lost';
        const task = await fixture.submit(LOST_OWNER);
        await fleet.pass(ROUND_MILLISECONDS);
        fleet.agentClock = new ShiftedClock(fleet.clock, -setBackMilliseconds);
        fixture.restartAgent();
        worker.starts.always = 'answered';
        fixture.connect(LOST_OWNER);
        await fleet.pass(2 * ROUND_MILLISECONDS);
        assert.ok(worker.running.has(task));
      });
    }
  });
});
