import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time for which a worker goes on that got no answer to its deregistration. */
const UNACKNOWLEDGED_MILLISECONDS = 4_000;
/** More than the length of any lease. */
const LEASE_MILLISECONDS = 8_000;
const TASK = 'j.0.0.0';
/** Time in which three connections are refused, but the last answer is new. */
const REFUSAL_MILLISECONDS = 700;

const STEP_MILLISECONDS = 20;
/** Time from the end of a worker to that of its agent. */
const LAST_REPORT_MILLISECONDS = 100;

/** Time in which an order is sent, and repeated after that. */
const ORDER_MILLISECONDS = 300;
/** Time after the report that it drains, from which a worker starts nothing. */
const DRAIN_MILLISECONDS = 2_000;

/** A task that runs on the only worker, and another worker with room. */
async function openWithTask(step: Partial<JobStep>) {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock, fleet.history);
  const other = new FakeRunWorker(fleet.clock, fleet.history);
  const started = fleet.startAgent('a', worker);
  const {agent} = started;
  const link = fleet.link(started, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', step), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  const otherStarted = fleet.startAgent('b', other);
  const otherLink = fleet.link(otherStarted, owner);
  const others = {other, otherStarted, otherLink};
  return {fleet, owner, link, started, agent, worker, ...others};
}

/** A lasting task on a worker that deregisters; another worker has room. */
async function openWithLeavingWorker() {
  const opened = await openWithTask({isLasting: true});
  opened.agent.deregisterWorker();
  return opened;
}

/** A task on a worker that drains; another worker has room. */
async function openWithDrainingWorker(step: Partial<JobStep>) {
  const opened = await openWithTask(step);
  const {fleet, agent, worker} = opened;
  await fleet.pass(ROUND_MILLISECONDS);
  const description = {...fleet.describeWorker('a', 'a@1'), isLeaving: true};
  await agent.registerWorker(description, () => worker, DRAIN_MILLISECONDS);
  return opened;
}

describe('worker that deregisters', () => {
  describe('and goes on, since it got no answer', test => {
    test('runs no task that is started elsewhere', async () => {
      const {fleet, worker, other} = await openWithLeavingWorker();
      await fleet.pass(UNACKNOWLEDGED_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
      worker.exit();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('gets no longer lease', async () => {
      const {fleet, worker, other} = await openWithLeavingWorker();
      worker.isSilent = true;
      await fleet.pass(LEASE_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('and registers again, since the call was one of its earlier incarnation', test => {
    test('keeps its runs', async () => {
      const {fleet, agent, worker} = await openWithLeavingWorker();
      await fleet.pass(ROUND_MILLISECONDS);
      const description = fleet.describeWorker('a', 'a@1');
      await agent.registerWorker(description, () => worker);
      await fleet.pass(LEASE_MILLISECONDS);
      assert.ok(worker.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});

describe('worker that drains', () => {
  describe('beside another one with room', test => {
    test('hands its lasting runs over before it leaves', async () => {
      const {fleet, agent, worker, other} = await openWithDrainingWorker({
        isLasting: true,
      });
      await fleet.pass(DRAIN_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      agent.deregisterWorker();
      worker.exit();
      await fleet.pass(LEASE_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('has a run stopped that it can not finish, which goes on elsewhere', async () => {
      const {fleet, agent, worker, other} = await openWithDrainingWorker({});
      await fleet.pass(DRAIN_MILLISECONDS);
      agent.deregisterWorker();
      worker.exit();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('while a start order has no answer', test => {
    test('gets the order no more', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(fleet.clock, fleet.history);
      const agent = fleet.startAgent('a', worker);
      fleet.link(agent, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      worker.starts.always = 'lost';
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ORDER_MILLISECONDS);
      const description = fleet.describeWorker('a', 'a@1');
      const leaving = {...description, isLeaving: true};
      await agent.agent.registerWorker(leaving, () => worker);
      await fleet.pass(DRAIN_MILLISECONDS);
      worker.starts.always = 'answered';
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });
  });
});

describe('worker that has exited', () => {
  describe('and refuses connections', test => {
    test('keeps no run that was ordered since', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(fleet.clock, fleet.history);
      const other = new FakeRunWorker(fleet.clock, fleet.history);
      fleet.link(fleet.startAgent('a', worker), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      worker.exit();
      await fleet.pass(REFUSAL_MILLISECONDS);
      const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      fleet.link(fleet.startAgent('b', other), owner);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.ok(other.running.has(TASK));
    });
  });
});

/**
 * Hands the shards over to an owner that hears the other agent only, with the job `k`,
 * whose task may be running anywhere.
 */
async function handOver(
  opened: Awaited<ReturnType<typeof openWithDrainingWorker>>,
) {
  const {fleet, owner, started, other, otherStarted} = opened;
  started.kill();
  for (const link of [opened.link, opened.otherLink]) link.close();
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('k', {}), deadline));
  const next = await fleet.startOwner('two', {shards: []});
  fleet.link(otherStarted, next);
  await fleet.pass(ROUND_MILLISECONDS);
  owner.kill();
  await fleet.run(next.acquire());
  await fleet.pass(2 * ROUND_MILLISECONDS);
  return other.running;
}

describe('agent that ends with its worker', () => {
  describe('shortly before its owner hands over', test => {
    test('is not waited for by the next owner', async () => {
      const opened = await openWithDrainingWorker({isLasting: true});
      const {fleet, agent, worker} = opened;
      await fleet.pass(DRAIN_MILLISECONDS);
      agent.deregisterWorker();
      worker.exit();
      while (agent.worker) await fleet.pass(STEP_MILLISECONDS);
      await fleet.pass(LAST_REPORT_MILLISECONDS);
      assert.ok((await handOver(opened)).has('k.0.0.0'));
    });

    test('is not waited for either if that went without a word', async () => {
      const opened = await openWithDrainingWorker({isLasting: true});
      const {fleet, agent, worker} = opened;
      await fleet.pass(DRAIN_MILLISECONDS);
      worker.exit();
      agent.retire();
      await fleet.pass(LAST_REPORT_MILLISECONDS);
      assert.ok((await handOver(opened)).has('k.0.0.0'));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('while it has a run', test => {
    test('is waited for, although it accepts no more', async () => {
      const opened = await openWithTask({isLasting: true});
      const {fleet, agent, worker, other} = opened;
      agent.retire();
      await fleet.pass(LAST_REPORT_MILLISECONDS);
      assert.not.ok((await handOver(opened)).has('k.0.0.0'));
      await fleet.pass(LEASE_MILLISECONDS);
      worker.exit();
      await fleet.pass(LEASE_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
