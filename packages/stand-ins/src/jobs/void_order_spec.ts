import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
/** Longer than a run permission, shorter than a lease after its end. */
const SHORT_GAP_MILLISECONDS = 4_000;
/** Time in which an owner does not ask again for the stop of a run. */
const STOP_RETRY_MILLISECONDS = 200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const TASK = 'j.0.0.0';
/** The first run under the epoch of the first owner. */
const FIRST_RUN = `${TASK}#3001`;

/** An agent with an order that its worker doesn't get. */
async function openWithOrder() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  worker.starts.always = 'lost';
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  return {fleet, owner, worker, agent, link};
}

/**
 * An agent with an order that its worker never got, cut off from all owners
 * until the next one has started the task on another worker.
 */
async function openWithVoidOrder() {
  const {fleet, owner, worker, agent, link} = await openWithOrder();
  owner.kill();
  link.close();
  const other = new FakeRunWorker(fleet.clock, fleet.history);
  const next = await fleet.startOwner('two');
  fleet.link(fleet.startAgent('b', other), next);
  await fleet.pass(EXPIRY_MILLISECONDS);
  assert.ok(other.running.has(TASK), 'the next owner has given the order up');
  worker.starts.always = 'answered';
  return {fleet, worker, other, agent, next};
}

describe('an order that the worker never got', () => {
  describe('whose agent loses contact for less than a lease', test => {
    test('is sent again, and no other', async () => {
      const {fleet, owner, worker, agent, link} = await openWithOrder();
      link.close();
      await fleet.pass(SHORT_GAP_MILLISECONDS);
      worker.starts.always = 'answered';
      fleet.link(agent, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, [FIRST_RUN]);
    });
  });

  describe('of a job that the next owner has cancelled', test => {
    test('begins no run once its agent meets that owner', async () => {
      const {fleet, owner, worker, agent, link} = await openWithOrder();
      owner.kill();
      link.close();
      const next = await fleet.startOwner('two');
      await fleet.run(next.owner.cancel('j'));
      worker.starts.always = 'answered';
      fleet.link(agent, next);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });
  });

  describe('whose agent meets the next owner after the run permission has ended', test => {
    test('begins no run beside the one that was started elsewhere', async () => {
      const {fleet, agent, next} = await openWithVoidOrder();
      fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('begins no run when the call to stop it is lost', async () => {
      const {fleet, worker, agent, next} = await openWithVoidOrder();
      const lost = fleet.link(agent, next);
      lost.peer.isCut = true;
      await fleet.pass(STOP_RETRY_MILLISECONDS);
      lost.close();
      fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });

    test('begins no run of a job that is complete', async () => {
      const {fleet, worker, other, agent, next} = await openWithVoidOrder();
      other.end(TASK, 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(next.owner.status('j'), 'complete');
      fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });
  });
});
