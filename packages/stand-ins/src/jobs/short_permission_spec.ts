import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 100;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time that calls to the agent take; an owner waits 2 s for the answer. */
const SLOW_LINK_MILLISECONDS = 1_700;
/** Just less than the time for which an entry counts on its lease. */
const LATE_ANSWER_MILLISECONDS = 1_950;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const TASK = 'j.0.0.0';

/** A run of an earlier owner, and a new owner with a slow link to its agent. */
async function openWithNewOwner() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const next = await fleet.startOwner('two', {shards: []});
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  fleet.link(agent, owner);
  const link = fleet.link(agent, next);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  fleet.link(fleet.startAgent('b', other), next);
  link.peer.delayMilliseconds = SLOW_LINK_MILLISECONDS;
  return {fleet, owner, next, other, link};
}

describe('a new owner whose first permission is shorter than that of the earlier one', () => {
  describe('and which loses the agent once it has reported', test => {
    test('starts no run beside that of the earlier owner', async () => {
      const {fleet, owner, next, other, link} = await openWithNewOwner();
      next.delayProof(LATE_ANSWER_MILLISECONDS);
      owner.kill();
      await fleet.run(next.acquire());
      await fleet.pass(STEP_MILLISECONDS);
      next.loseLease();
      await fleet.pass(SLOW_LINK_MILLISECONDS);
      link.close();
      next.regainLease();
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(other.running.has(TASK), 'the next owner has given it up');
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
