import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import {ShiftedClock} from './shifted_clock.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const STEP_MILLISECONDS = 100;
/** Time by which the clocks of later owners are behind. */
const BEHIND_MILLISECONDS = 8_000;

/**
 * Both occurrences of a job run: the second only just, and on the clock of a
 * later owner it is not due for some time.
 */
async function open() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const occurrences = {
    count: 3,
    firstInstant: fleet.clock.now() - BEHIND_MILLISECONDS,
    intervalMilliseconds: BEHIND_MILLISECONDS,
  };
  const job = {...fleet.job('j', {}), occurrences};
  await fleet.run(owner.owner.submit(job, fleet.clock.now() + 3_000));
  await fleet.pass(ROUND_MILLISECONDS);
  const startNext = async (name: string) => {
    const clock = new ShiftedClock(fleet.clock, -BEHIND_MILLISECONDS / 2);
    return await fleet.startOwner(name, {clock});
  };
  const runsOf = (task: string) =>
    worker.began.filter(run => run.startsWith(`${task}#`)).length;
  return {fleet, owner, worker, agent, link, startNext, runsOf};
}

describe('occurrences of jobs', () => {
  describe('of which the clock of the next owner knows nothing yet', test => {
    test('lose no task that was done when the record is written again', async () => {
      const {fleet, owner, worker, agent, startNext, runsOf} = await open();
      worker.end('j.1.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 1);
      owner.kill();
      const next = await startNext('two');
      fleet.link(agent, next);
      await fleet.pass(ROUND_MILLISECONDS);
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 2);
      next.kill();
      fleet.link(agent, await startNext('three'));
      await fleet.pass(BEHIND_MILLISECONDS);
      assert.is(runsOf('j.1.0.0'), 1);
    });

    test('start no task again whose run ended while there was no owner', async () => {
      const {fleet, owner, worker, agent, startNext, runsOf} = await open();
      owner.kill();
      worker.end('j.1.0.0', 'done');
      fleet.link(agent, await startNext('two'));
      await fleet.pass(BEHIND_MILLISECONDS);
      assert.is(worker.acknowledgedUpTo, 1);
      assert.is(runsOf('j.1.0.0'), 1);
    });

    test('keep the run that an agent lists', async () => {
      const {fleet, owner, worker, agent, startNext, runsOf} = await open();
      owner.kill();
      fleet.link(agent, await startNext('two'));
      await fleet.pass(BEHIND_MILLISECONDS);
      assert.ok(worker.running.has('j.1.0.0'));
      assert.is(runsOf('j.1.0.0'), 1);
    });

    test('start no second run beside one whose agent is out of touch later', async () => {
      const {fleet, owner, worker, agent, startNext} = await open();
      owner.kill();
      const next = await startNext('two');
      const link = fleet.link(agent, next);
      const other = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('b', other), next);
      await fleet.pass(STEP_MILLISECONDS);
      link.isCut = true;
      link.close();
      await fleet.pass(BEHIND_MILLISECONDS / 2);
      const both = [worker, other].flatMap(one => [...one.running.keys()]);
      assert.equal(both.filter(task => task === 'j.1.0.0').length, 1);
    });
  });
});
