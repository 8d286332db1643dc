import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import {SharedWorkerFixture} from './shared_worker_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which runs of an agent without contact are started elsewhere. */
const EXPIRY_MILLISECONDS = 9_100;
const SHORT_JOBS = 24;
/** More than the endings that a worker lists at once. */
const MANY_TASKS = 520;
const TINY = {processors: 0.001, memoryMebibytes: 1, accelerators: 0};
/** Duration of a short job, and time until the next one. */
const JOB_MILLISECONDS = 400;
const UNCONFIRMED: readonly CallFate[] = ['lost', 'late'];
/** The owner that loses contact with the worker's agent, and the other one. */
const LOST_OWNER = 0;
const OTHER_OWNER = 1;

/** A lasting task of each owner on the shared worker. */
async function openWithTasks() {
  const fixture = new SharedWorkerFixture();
  await fixture.open();
  const {fleet, worker} = fixture;
  await fleet.pass(ROUND_MILLISECONDS);
  const task = await fixture.submit(LOST_OWNER, {isLasting: true});
  const otherTask = await fixture.submit(OTHER_OWNER, {isLasting: true});
  await fleet.pass(ROUND_MILLISECONDS);
  assert.equal([...worker.running.keys()].sort(), [task, otherTask].sort());
  return {fixture, fleet, worker, other: fixture.other, task, otherTask};
}

/** A task that ends while its owner has no contact, on the shared worker. */
async function openWithUnheardEnding() {
  const fixture = new SharedWorkerFixture();
  await fixture.open();
  const {fleet, worker} = fixture;
  await fleet.pass(ROUND_MILLISECONDS);
  const task = await fixture.submit(LOST_OWNER);
  await fleet.pass(ROUND_MILLISECONDS);
  fixture.disconnect(LOST_OWNER);
  fixture.addOther();
  worker.end(task, 'done');
  return {fixture, fleet, worker, other: fixture.other, task};
}

describe('shared worker', () => {
  describe('whose agent loses contact with one of two owners', test => {
    for (const fate of UNCONFIRMED) {
      test(`does not run on what was started elsewhere, its stop ${fate}`, async () => {
        const {fixture, fleet, worker, other, task} = await openWithTasks();
        worker.stops.always = fate;
        fixture.disconnect(LOST_OWNER);
        fixture.addOther();
        await fleet.pass(EXPIRY_MILLISECONDS + ROUND_MILLISECONDS);
        assert.ok(other.running.has(task), 'its owner has given it up');
        assert.equal(fleet.history.concurrentRuns, []);
      });
    }

    test('keeps the runs of the other owner once the stops are confirmed', async () => {
      const {fixture, fleet, worker, otherTask} = await openWithTasks();
      fixture.disconnect(LOST_OWNER);
      await fleet.pass(2 * EXPIRY_MILLISECONDS);
      assert.equal([...worker.running.keys()], [otherTask]);
      assert.is(worker.began.length, 2);
    });

    test('keeps no lease for an end that the owner has not heard of', async () => {
      const {fixture, fleet, other, task} = await openWithUnheardEnding();
      await fixture.submit(OTHER_OWNER, {isLasting: true});
      await fleet.pass(EXPIRY_MILLISECONDS + ROUND_MILLISECONDS);
      assert.ok(other.running.has(task), 'its owner has given it up');
      fixture.connect(LOST_OWNER);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.repeatedRuns, []);
    });

    test('gets no lease by start orders after an end that the owner has not heard of', async () => {
      const {fixture, fleet, worker, other, task} =
        await openWithUnheardEnding();
      for (let count = 0; count < SHORT_JOBS; count += 1) {
        const short = await fixture.submit(OTHER_OWNER);
        await fleet.pass(JOB_MILLISECONDS);
        for (const one of [worker, other]) one.end(short, 'done');
      }
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(other.running.has(task), 'its owner has given it up');
      fixture.connect(LOST_OWNER);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.repeatedRuns, []);
    });

    test('misses no end that the list of ends has no room for', async () => {
      const fixture = new SharedWorkerFixture();
      await fixture.open();
      const {fleet, worker} = fixture;
      await fleet.pass(ROUND_MILLISECONDS);
      const task = await fixture.submit(LOST_OWNER);
      await fleet.pass(ROUND_MILLISECONDS);
      fixture.disconnect(LOST_OWNER);
      worker.end(task, 'done');
      await fleet.pass(EXPIRY_MILLISECONDS);
      await fixture.submit(OTHER_OWNER, {count: MANY_TASKS, resources: TINY});
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, MANY_TASKS);
      for (const one of [...worker.running.keys()]) worker.end(one, 'done');
      await fleet.pass(2 * ROUND_MILLISECONDS);
      fixture.connect(LOST_OWNER);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.repeatedRuns, []);
      assert.is(worker.acknowledgedUpTo, 1 + MANY_TASKS);
    });

    test('repeats no order of that owner past its run permission', async () => {
      const fixture = new SharedWorkerFixture();
      await fixture.open();
      const {fleet, worker, other} = fixture;
      await fleet.pass(ROUND_MILLISECONDS);
      worker.starts.always = 'late';
      const task = await fixture.submit(LOST_OWNER);
      await fleet.pass(ROUND_MILLISECONDS);
      fixture.disconnect(LOST_OWNER);
      fixture.addOther();
      await fleet.pass(EXPIRY_MILLISECONDS + ROUND_MILLISECONDS);
      assert.ok(other.running.has(task), 'its owner has given it up');
      worker.applyLate();
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
