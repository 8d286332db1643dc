import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {openLastingTask} from './lasting_task_fixture.js';

/** Time after the last disruption in which a lasting task has to run again. */
const RECOVERY_MILLISECONDS = 7_000;
/** The same if it may go on under a lease that was extended until then. */
const LEASED_RECOVERY_MILLISECONDS = 10_000;
/** More than the length of any lease. */
const EXPIRED_MILLISECONDS = 9_000;
const TASK = 'j.0.0.0';
const LIFE = 'a@1';
const NEXT_LIFE = 'a@2';

/** A lasting task on a worker whose agent can be started again. */
async function openWithLastingTask() {
  const opened = await openLastingTask();
  const {fleet, owner, agent, link} = opened;
  const endAgent = () => {
    agent.kill();
    link.close();
  };
  /** The next process of the agent; no worker has registered there yet. */
  const restartAgent = () => {
    endAgent();
    const next = fleet.openAgent('a');
    fleet.link(next, owner);
    const register = (one: FakeRunWorker, life: string) =>
      next.agent.registerWorker(fleet.describeWorker('a', life), () => one);
    return {next, register};
  };
  return {...opened, restartAgent};
}

describe('agent without a list of its worker', () => {
  describe('since it started again and its worker is gone for good', test => {
    test('does not hold the runs of the process before it', async () => {
      const {fleet, worker, other, restartAgent} = await openWithLastingTask();
      worker.exit();
      restartAgent();
      await fleet.pass(RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('does not hold up the next owner', async () => {
      const {fleet, owner, otherAgent, worker, other, restartAgent} =
        await openWithLastingTask();
      worker.exit();
      const {next: agent} = restartAgent();
      owner.kill();
      const next = await fleet.startOwner('two');
      for (const one of [agent, otherAgent]) fleet.link(one, next);
      await fleet.pass(RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('since it started again and its worker never answers', test => {
    test('does not hold the runs of the process before it', async () => {
      const {fleet, worker, other, restartAgent} = await openWithLastingTask();
      worker.isSilent = true;
      void restartAgent().register(worker, LIFE);
      await fleet.pass(RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('keeps them while their lease may last', async () => {
      const {fleet, worker, other, restartAgent} = await openWithLastingTask();
      worker.isSilent = true;
      const next = restartAgent();
      for (let passed = 0; passed < EXPIRED_MILLISECONDS; passed += 1_000) {
        await fleet.pass(1_000);
        assert.not(worker.running.has(TASK) && other.running.has(TASK));
      }
      worker.isSilent = false;
      void next.register(worker, LIFE);
      await fleet.pass(EXPIRED_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
      assert.is(worker.running.size + other.running.size, 1);
    });
  });

  describe('since the next incarnation of its worker never answers', test => {
    test('does not hold the runs of the incarnation before it', async () => {
      const {fleet, agent, worker, other} = await openWithLastingTask();
      const next = new FakeRunWorker(fleet.clock, fleet.history);
      next.isSilent = true;
      worker.exit();
      agent.register(next, NEXT_LIFE);
      await fleet.pass(RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });

  describe('since its worker answers that it is unhealthy', test => {
    test('does not hold runs that have lapsed', async () => {
      const {fleet, worker, other} = await openWithLastingTask();
      worker.isUnhealthy = true;
      await fleet.pass(LEASED_RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('does not hold the runs of the process before it', async () => {
      const {fleet, worker, other, restartAgent} = await openWithLastingTask();
      worker.isUnhealthy = true;
      void restartAgent().register(worker, LIFE);
      await fleet.pass(RECOVERY_MILLISECONDS);
      assert.ok(other.running.has(TASK));
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
