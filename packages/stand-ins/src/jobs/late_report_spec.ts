import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 500;
/** Time that messages of the earlier link take. */
const LATE_MILLISECONDS = 2_500;
/** Less than the time for which an owner waits for an answer. */
const ANSWER_MILLISECONDS = 1_800;

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
});
