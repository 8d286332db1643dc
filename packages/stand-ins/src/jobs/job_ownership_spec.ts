import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 100;
/** Time for which an agent may keep runs alive after an owner's renewal. */
const PERMISSION_MILLISECONDS = 2_500;
/** Time after which an entry without contact to an agent drops its runs. */
const FORGET_MILLISECONDS = 12_000;
const SLOW_LINK_MILLISECONDS = 600;
const SLOW_STORE_MILLISECONDS = 800;

/** One owner, and one agent with its worker. */
async function open() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (job: ReturnType<JobFleetFixture['job']>) => {
    await fleet.run(owner.owner.submit(job, fleet.clock.now() + 3_000));
    await fleet.pass(ROUND_MILLISECONDS);
  };
  return {fleet, owner, worker, agent, link, submit};
}

/** A job that runs under a new owner, of which the earlier one knows nothing. */
async function openWithNewOwner() {
  const {fleet, owner, worker, agent} = await open();
  owner.lapseUnnoticed();
  const next = await fleet.startOwner('two');
  const link = fleet.link(agent, next);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + 3_000;
  await fleet.run(next.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  return {fleet, owner, next, worker, agent, link};
}

describe('job ownership', () => {
  describe('an owner that has lost its lease', test => {
    test('refuses a new job and a cancel at once', async () => {
      const {fleet, owner, submit} = await open();
      await submit(fleet.job('j', {}));
      owner.loseLease();
      const deadline = fleet.clock.now() + 3_000;
      const job = fleet.job('k', {});
      const refusals = await Promise.all([
        owner.owner.submit(job, deadline).catch(thrown => thrown),
        owner.owner.cancel('j').catch(thrown => thrown),
      ]);
      const kinds = refusals.map(one => toChicoryspringError(one).kind);
      assert.equal(kinds, ['lease-lapsed', 'lease-lapsed']);
    });
  });

  describe('a new owner', test => {
    test('waits for an agent that joined after it had read the list of agents', async () => {
      const {fleet, owner, worker, agent, submit} = await open();
      const next = await fleet.startOwner('two');
      const late = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('b', late), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      await submit(fleet.job('j', {count: 8}));
      assert.is(late.running.size, 4);
      for (const task of [...worker.running.keys()]) worker.end(task, 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      owner.kill();
      fleet.link(agent, next);
      await fleet.run(next.acquire());
      fleet.storeDelayMilliseconds = ROUND_MILLISECONDS;
      await fleet.pass(3 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 4, 'the others may still run');
    });
  });

  describe('a later owner', test => {
    test('waits for an agent with which an entry without the shard has no contact', async () => {
      const {fleet, owner, worker, agent, link} = await open();
      owner.noticeLoss();
      owner.lapseUnnoticed();
      const next = await fleet.startOwner('two');
      const nextLink = fleet.link(agent, next);
      link.close();
      await fleet.pass(FORGET_MILLISECONDS);
      const deadline = fleet.clock.now() + 3_000;
      await fleet.run(next.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 1);
      nextLink.close();
      next.kill();
      const other = new FakeRunWorker(fleet.clock);
      const last = await fleet.startOwner('three');
      fleet.link(fleet.startAgent('b', other), last);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(other.began, [], 'its run may still go on');
    });
  });

  describe('an owner that gains its shards again', test => {
    test('waits for an agent whose runs it has long dropped', async () => {
      const {fleet, owner, worker, agent, link} = await open();
      owner.noticeLoss();
      owner.lapseUnnoticed();
      const next = await fleet.startOwner('two');
      const nextLink = fleet.link(agent, next);
      await fleet.pass(FORGET_MILLISECONDS - ROUND_MILLISECONDS);
      const deadline = fleet.clock.now() + 3_000;
      await fleet.run(next.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.running.size, 1);
      const other = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('b', other), owner);
      link.close();
      nextLink.close();
      next.kill();
      await owner.winBack();
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(other.began, [], 'its run may still go on');
    });
  });

  describe('an owner that loses a shard before it hears that a job is durable', test => {
    test('starts no task that is done by the time it gains the shard again', async () => {
      const {fleet, owner, worker, agent} = await open();
      fleet.storeReplyMilliseconds = SLOW_STORE_MILLISECONDS;
      const deadline = fleet.clock.now() + 3_000;
      const job = fleet.job('j', {count: 5});
      const submitting = owner.owner.submit(job, deadline);
      await fleet.pass(STEP_MILLISECONDS);
      owner.noticeLoss();
      owner.lapseUnnoticed();
      fleet.storeReplyMilliseconds = 0;
      await fleet.run(submitting);
      const next = await fleet.startOwner('two');
      fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 1);
      next.kill();
      const other = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('b', other), owner);
      await owner.winBack();
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(other.began, [], 'one is done, and the others run');
    });
  });

  describe('an owner that gains its shards twice in a row', test => {
    test('counts no report that it asked for under the first ownership', async () => {
      const {fleet, owner, worker, link} = await open();
      link.peer.delayMilliseconds = SLOW_LINK_MILLISECONDS;
      owner.noticeLoss();
      await owner.winBack();
      const deadline = fleet.clock.now() + 3_000;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(SLOW_LINK_MILLISECONDS + STEP_MILLISECONDS);
      owner.noticeLoss();
      await owner.winBack();
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1, 'the first order was still on its way');
    });
  });

  describe('a start order', test => {
    test('is void once the permission that the agent had has ended', async () => {
      const {fleet, worker, link, submit} = await open();
      link.peer.delayMilliseconds = PERMISSION_MILLISECONDS + STEP_MILLISECONDS;
      await submit(fleet.job('j', {}));
      await fleet.pass(2 * PERMISSION_MILLISECONDS);
      assert.equal(worker.began, [], 'the owner counts on the permission only');
    });

    test('that is on its way over a closed link is carried out once', async () => {
      const {fleet, owner, worker, agent, link} = await open();
      link.peer.delayMilliseconds = ROUND_MILLISECONDS;
      const deadline = fleet.clock.now() + 3_000;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(STEP_MILLISECONDS);
      link.close();
      fleet.link(agent, owner);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(worker.began.length, 1, worker.began.join());
    });
  });

  describe('a start order that arrives once the owner has placed its task again', test => {
    test('is not carried out, although the agent has a newer permission', async () => {
      const {fleet, owner, worker, agent, link} = await open();
      // The permission was sent 400 ms before the order.
      await fleet.pass(4 * STEP_MILLISECONDS);
      link.peer.delayMilliseconds =
        PERMISSION_MILLISECONDS + 4 * STEP_MILLISECONDS;
      const deadline = fleet.clock.now() + 3_000;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(STEP_MILLISECONDS);
      link.close();
      fleet.link(agent, owner);
      await fleet.pass(2 * PERMISSION_MILLISECONDS);
      assert.is(worker.began.length, 1, worker.began.join());
    });
  });

  describe('a run that an agent took, which starts again', test => {
    test('is lost once the next agent process lists the runs without it', async () => {
      const {fleet, owner, worker, agent, link, submit} = await open();
      for (const id of ['first', 'second', 'third']) {
        await submit(fleet.job(id, {}));
        worker.end(`${id}.0.0.0`, 'done');
        await fleet.pass(ROUND_MILLISECONDS);
      }
      worker.starts.always = 'lost';
      await submit(fleet.job('j', {}));
      link.close();
      agent.kill();
      worker.starts.always = 'answered';
      fleet.link(fleet.startAgent('a', worker), owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });

  describe('an ending that is not durable yet', test => {
    test('is not settled by an earlier owner that does not know the job', async () => {
      const {fleet, owner, worker, agent} = await openWithNewOwner();
      fleet.storeDelayMilliseconds = 3 * ROUND_MILLISECONDS;
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(agent, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 0);
    });

    test('reaches the owner although an earlier one is told first', async () => {
      const {fleet, owner, next, worker, agent, link} =
        await openWithNewOwner();
      link.isCut = true;
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(agent, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.is(next.owner.status('j'), 'complete');
    });

    test('is not settled when a job ends and another shard is lost', async () => {
      const {fleet, owner, worker, agent, submit} = await open();
      await submit(fleet.job('j', {count: 2}));
      fleet.storeDelayMilliseconds = SLOW_STORE_MILLISECONDS;
      worker.end('j.0.0.0', 'done');
      await fleet.pass(SLOW_STORE_MILLISECONDS / 2);
      worker.end('j.0.0.1', 'done');
      // The write of the first ending ends; that of the second begins.
      await fleet.pass(SLOW_STORE_MILLISECONDS);
      owner.loseOtherShard('j');
      await fleet.pass(SLOW_STORE_MILLISECONDS / 4);
      owner.kill();
      fleet.storeDelayMilliseconds = 0;
      fleet.link(agent, await fleet.startOwner('two'));
      await fleet.pass(4 * ROUND_MILLISECONDS);
      assert.equal(worker.began.length, 2);
      assert.is(worker.acknowledgedUpTo, 2);
    });
  });

  describe('a failure that is durable but not settled', test => {
    test('is counted once by the next owner', async () => {
      const {fleet, owner, worker, agent, link, submit} = await open();
      await submit(fleet.job('j', {}));
      fleet.store.isDown = true;
      worker.end('j.0.0.0', 'failed');
      await fleet.pass(ROUND_MILLISECONDS);
      link.close();
      fleet.store.isDown = false;
      await fleet.pass(ROUND_MILLISECONDS);
      owner.kill();
      const next = await fleet.startOwner('two');
      fleet.link(agent, next);
      await fleet.pass(4 * ROUND_MILLISECONDS);
      assert.is(next.owner.status('j'), 'running');
      assert.is(worker.began.length, 2);
      assert.is(worker.acknowledgedUpTo, 1);
    });
  });
});
