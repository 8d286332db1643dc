import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import {ShiftedClock} from './shifted_clock.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 500;
const SHORT_STEP_MILLISECONDS = 200;
/** Time that messages of the earlier link take. */
const LATE_MILLISECONDS = 2_500;
/** Less than the time for which an owner waits for an answer. */
const ANSWER_MILLISECONDS = 1_800;
const AHEAD_MILLISECONDS = 60_000;

/** One owner and a task that has run on a worker. */
async function open() {
  const fleet = new JobFleetFixture();
  const {history, clock} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (id: string) => {
    const deadline = clock.now() + ROUND_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, {}), deadline));
  };
  const addOther = () => {
    const other = new FakeRunWorker(clock, history);
    fleet.link(fleet.startAgent('b', other), owner);
  };
  return {fleet, history, owner, worker, agent, link, submit, addOther};
}

/**
 * An owner that has met an agent process, whose worker is full; the join of the
 * process before, whose clock was ahead, is on its way.
 */
async function openWithLateJoin(aheadMilliseconds: number) {
  const fleet = new JobFleetFixture();
  const {history, clock} = fleet;
  const pass = () => fleet.pass(SHORT_STEP_MILLISECONDS);
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  fleet.agentClock = new ShiftedClock(clock, aheadMilliseconds);
  const earlier = fleet.startAgent('a', worker);
  await pass();
  const earlierLink = fleet.link(earlier, owner, ANSWER_MILLISECONDS);
  await pass();
  earlierLink.isCut = true;
  earlier.kill();
  fleet.agentClock = clock;
  const link = fleet.link(fleet.startAgent('a', worker), owner);
  await pass();
  const submit = async (id: string, count: number) => {
    const deadline = clock.now() + ROUND_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, {count}), deadline));
    await pass();
  };
  await submit('j', 4);
  assert.is(worker.running.size, 4);
  const other = new FakeRunWorker(clock, history);
  fleet.link(fleet.startAgent('b', other), owner);
  await pass();
  await submit('k', 1);
  assert.ok(other.running.has('k.0.0.0'), 'runs are packed there');
  return {fleet, history, link};
}

describe('late report', () => {
  describe('of an earlier incarnation of the agent', test => {
    test('clears no run that the present incarnation has started', async () => {
      const opened = await open();
      const {fleet, history, owner, worker, agent, link} = opened;
      for (const id of ['first', 'second', 'third']) {
        await opened.submit(id);
        await fleet.pass(STEP_MILLISECONDS);
        worker.end(`${id}.0.0.0`, 'done');
        await fleet.pass(STEP_MILLISECONDS);
      }
      await opened.submit('last');
      await fleet.pass(STEP_MILLISECONDS);
      link.delayMilliseconds = LATE_MILLISECONDS;
      worker.end('last.0.0.0', 'done');
      await fleet.pass(STEP_MILLISECONDS);
      link.isCut = true;
      agent.kill();
      fleet.link(fleet.startAgent('a', worker), owner);
      await fleet.pass(STEP_MILLISECONDS);
      await opened.submit('j');
      await fleet.pass(STEP_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
      opened.addOther();
      await fleet.pass(LATE_MILLISECONDS);
      link.close();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(history.concurrentRuns, []);
    });

    test('clears no run once the link of the present incarnation has closed', async () => {
      const opened = await open();
      const {fleet, history, owner, worker, agent, link} = opened;
      await opened.submit('first');
      await fleet.pass(STEP_MILLISECONDS);
      link.delayMilliseconds = LATE_MILLISECONDS;
      worker.end('first.0.0.0', 'done');
      await fleet.pass(STEP_MILLISECONDS);
      link.isCut = true;
      agent.kill();
      const present = fleet.startAgent('a', worker);
      const presentLink = fleet.link(present, owner);
      await fleet.pass(STEP_MILLISECONDS);
      await opened.submit('j');
      await fleet.pass(STEP_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
      opened.addOther();
      presentLink.close();
      link.close();
      await fleet.pass(LATE_MILLISECONDS);
      fleet.link(present, owner);
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal(history.concurrentRuns, []);
    });

    test('reconciles no shard, since it is not applied', async () => {
      const opened = await open();
      const {fleet, history, owner, worker, agent} = opened;
      await opened.submit('j');
      await fleet.pass(STEP_MILLISECONDS);
      const next = await fleet.startOwner('two');
      const link = fleet.link(agent, next);
      link.delayMilliseconds = ANSWER_MILLISECONDS;
      const other = new FakeRunWorker(fleet.clock, history);
      fleet.link(fleet.startAgent('b', other), next);
      owner.kill();
      await fleet.run(next.acquire());
      await fleet.pass(STEP_MILLISECONDS);
      worker.isSilent = true;
      link.isCut = true;
      agent.kill();
      fleet.link(fleet.startAgent('a', worker), next);
      await fleet.pass(ANSWER_MILLISECONDS + ROUND_MILLISECONDS);
      assert.equal(history.concurrentRuns, []);
    });
  });

  describe('of an agent process that the owner did not know', test => {
    test('clears no run of the next one, although its version is higher', async () => {
      const {fleet, history} = await openWithLateJoin(AHEAD_MILLISECONDS);
      await fleet.pass(ANSWER_MILLISECONDS + ROUND_MILLISECONDS);
      assert.equal(history.concurrentRuns, []);
    });

    test('clears no run of the next one, whose link is closed', async () => {
      const {fleet, history, link} = await openWithLateJoin(0);
      link.close();
      await fleet.pass(ANSWER_MILLISECONDS + ROUND_MILLISECONDS);
      assert.equal(history.concurrentRuns, []);
    });
  });

  describe('of an earlier agent process, whose link is still open', test => {
    test('keeps out no later process whose clock was set back', async () => {
      const fleet = new JobFleetFixture();
      const owner = await fleet.startOwner('one');
      const worker = new FakeRunWorker(fleet.clock);
      fleet.agentClock = new ShiftedClock(fleet.clock, AHEAD_MILLISECONDS);
      const earlier = fleet.startAgent('a', worker);
      const earlierLink = fleet.link(earlier, owner);
      await fleet.pass(STEP_MILLISECONDS);
      earlierLink.isCut = true;
      earlier.kill();
      fleet.agentClock = fleet.clock;
      fleet.link(fleet.startAgent('a', worker), owner);
      const deadline = fleet.clock.now() + ROUND_MILLISECONDS;
      await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });
});
