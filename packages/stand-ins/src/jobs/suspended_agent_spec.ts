import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import {SuspendableClock} from './suspendable_clock.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const SUSPENSION_MILLISECONDS = 3_000;
/** Time until the agent is suspended, and between two suspensions. */
const AWAKE_MILLISECONDS = 1_000;
/** Time after which a silent worker's lease has expired for certain. */
const EXPIRY_MILLISECONDS = 10_000;
const TASK = 'j.0.0.0';

/** A lasting task on a worker whose agent can be suspended. */
async function openWithTask() {
  const fleet = new JobFleetFixture();
  const agentClock = new SuspendableClock(fleet.clock);
  fleet.agentClock = agentClock;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock, fleet.history);
  const agent = fleet.startAgent('a', worker);
  fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  const job = fleet.job('j', {isLasting: true});
  await fleet.run(owner.owner.submit(job, deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  const suspend = async () => {
    agentClock.suspendUntil(fleet.clock.now() + SUSPENSION_MILLISECONDS);
    await fleet.pass(SUSPENSION_MILLISECONDS);
  };
  return {fleet, owner, worker, agent, suspend};
}

describe('suspended agent', () => {
  describe('of a worker that carries calls out without an answer', test => {
    test('does not let the lease expire by its own absence', async () => {
      const {fleet, worker, suspend} = await openWithTask();
      worker.renewals.always = 'unanswered';
      await fleet.pass(AWAKE_MILLISECONDS);
      await suspend();
      await fleet.pass(AWAKE_MILLISECONDS);
      await suspend();
      worker.renewals.always = 'answered';
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.is(worker.began.length, 1);
      assert.ok(worker.running.has(TASK));
    });
  });

  describe('of a worker that gets no more calls', test => {
    test('lets its runs start elsewhere, not before they have expired', async () => {
      const {fleet, owner, worker, suspend} = await openWithTask();
      const other = new FakeRunWorker(fleet.clock, fleet.history);
      worker.isSilent = true;
      await fleet.pass(AWAKE_MILLISECONDS);
      await suspend();
      fleet.agentClock = fleet.clock;
      fleet.link(fleet.startAgent('b', other), owner);
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'its owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
