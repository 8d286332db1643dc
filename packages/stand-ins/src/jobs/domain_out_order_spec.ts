import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {ShardHash} from '@chicoryspring/shards';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

/** Time in which an agent joins, or hears of a configuration. */
const ROUND_MILLISECONDS = 1_200;
/** Time in which an order reaches a worker, but is not repeated yet. */
const ORDER_MILLISECONDS = 100;
/** Time in which the agent finds that its worker doesn't answer. */
const SILENCE_MILLISECONDS = 2_500;
/** Time for which the owner avoids a worker that has left an order unanswered. */
const AVOIDANCE_MILLISECONDS = 3_000;
/** Time until an owner's next renewal, which stays on its way for longer. */
const RENEWAL_MILLISECONDS = 700;
const SLOW_LINK_MILLISECONDS = 1_500;
const DOMAIN = 'domain';
const JOB = 'j';
const SHARDS = 2;

/** A worker whose agent is linked to the owner of all shards. */
async function openFleet() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  return {fleet, owner, worker, submit: () => submit(fleet, owner)};
}

/** The same with two owners, of which the first one owns the shard of the job. */
async function openWithTwoOwners() {
  const fleet = new JobFleetFixture();
  const shard = ShardHash.forKey(JOB, SHARDS);
  const one = await fleet.startOwner('one', {shards: [shard]});
  const two = await fleet.startOwner('two', {shards: [SHARDS - 1 - shard]});
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, one);
  fleet.link(agent, two);
  await fleet.pass(ROUND_MILLISECONDS);
  return {fleet, one, worker, link, submit: () => submit(fleet, one)};
}

async function submit(fleet: JobFleetFixture, {owner}: OwnerFixture) {
  const deadline = fleet.clock.now() + 3_000;
  await fleet.run(owner.submit(fleet.job(JOB, {}), deadline));
  await fleet.pass(ORDER_MILLISECONDS);
}

/** A job whose order the worker leaves unanswered, as all calls. */
async function openWithUnansweredOrder() {
  const opened = await openFleet();
  opened.worker.isSilent = true;
  await opened.submit();
  return opened;
}

// An agent repeated orders whose failure domain had been taken out since.
describe('a start order in a failure domain that is taken out', () => {
  describe('while its worker leaves all calls unanswered', test => {
    test('is not repeated once the worker answers', async () => {
      const {fleet, worker} = await openWithUnansweredOrder();
      fleet.takeOut(DOMAIN);
      await fleet.pass(SILENCE_MILLISECONDS);
      worker.isSilent = false;
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });

    test('is not repeated when the worker answers before it counts as silent', async () => {
      const {fleet, worker} = await openWithUnansweredOrder();
      fleet.takeOut(DOMAIN);
      await fleet.pass(RENEWAL_MILLISECONDS);
      worker.isSilent = false;
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });

    test('is placed anew once the domain is back', async () => {
      const {fleet, worker, owner} = await openWithUnansweredOrder();
      fleet.takeOut(DOMAIN);
      await fleet.pass(SILENCE_MILLISECONDS);
      worker.isSilent = false;
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.takeOut();
      await fleet.pass(AVOIDANCE_MILLISECONDS);
      assert.is(worker.began.length, 1);
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(owner.owner.status(JOB), 'complete');
    });
  });

  describe('after the worker has carried it out without an answer', test => {
    test('leaves the run that the worker lists', async () => {
      const {fleet, worker, submit} = await openFleet();
      worker.starts.next = ['unanswered'];
      await submit();
      fleet.takeOut(DOMAIN);
      await fleet.pass(SILENCE_MILLISECONDS);
      assert.equal([...worker.running.keys()], ['j.0.0.0']);
      assert.is(worker.began.length, 1);
    });
  });

  describe('by an owner that has not heard of it', test => {
    test('is refused once another owner has told the agent', async () => {
      const {fleet, one, worker, submit} = await openWithTwoOwners();
      one.keepConfiguration();
      fleet.takeOut(DOMAIN);
      await fleet.pass(ROUND_MILLISECONDS);
      await submit();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });
  });

  describe('while its owner renews without its lease', test => {
    test('is not sent before the owner holds a lease again', async () => {
      const {fleet, owner, worker} = await openWithUnansweredOrder();
      owner.enterGracePeriod();
      owner.keepConfiguration();
      fleet.takeOut(DOMAIN);
      await fleet.pass(SILENCE_MILLISECONDS);
      worker.isSilent = false;
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });

    test('is sent after that if no domain is out', async () => {
      const {fleet, owner, worker} = await openWithUnansweredOrder();
      owner.enterGracePeriod();
      await fleet.pass(RENEWAL_MILLISECONDS);
      worker.isSilent = false;
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
      owner.regainLease();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
    });
  });

  describe('while it is on a slow link', test => {
    test('is refused once another owner has told the agent', async () => {
      const {fleet, link, worker, submit} = await openWithTwoOwners();
      link.peer.delayMilliseconds = SLOW_LINK_MILLISECONDS;
      await submit();
      fleet.takeOut(DOMAIN);
      await fleet.pass(SLOW_LINK_MILLISECONDS + ROUND_MILLISECONDS);
      assert.equal(worker.began, []);
    });
  });
});
