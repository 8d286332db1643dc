import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and is reported. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const ALL_PROCESSORS = {
  processors: 4,
  memoryMebibytes: 100,
  accelerators: 0,
};

/** One owner, an agent whose worker is full, and a task that has no room. */
async function openFull() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const step = {isLasting: true, resources: ALL_PROCESSORS};
  for (const id of ['first', 'second']) {
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, step), deadline));
    await fleet.pass(ROUND_MILLISECONDS);
  }
  return {fleet, owner, agent, link};
}

describe('the log of what a due task waits for', () => {
  describe('while no worker has room', test => {
    test('has one line, and one more when the cause changes', async () => {
      const {fleet, link} = await openFull();
      await fleet.pass(3 * ROUND_MILLISECONDS);
      link.close();
      await fleet.pass(3 * ROUND_MILLISECONDS);
      const lines = fleet.log.linesOf('no worker for a task');
      const causes = lines.map(({passedOver}) => passedOver);
      assert.equal(causes, ['no room=1', 'no complete report=1']);
    });
  });

  describe('while the shards are not reconciled', test => {
    test('names the agents without a report and the time that is left', async () => {
      const {fleet, owner, link} = await openFull();
      link.close();
      owner.kill();
      await fleet.startOwner('two');
      await fleet.pass(EXPIRY_MILLISECONDS);
      const lines = fleet.log.linesOf('shard not reconciled');
      const waits = lines.filter(({cause}) => cause !== 'no list of agents');
      assert.equal(
        waits.map(({agents}) => agents),
        ['a', 'a'],
      );
      const remaining = waits.map(one => Number(one['remainingMilliseconds']));
      assert.ok(remaining.every(time => time > 8_500 && time <= 9_020));
      const ends = fleet.log.linesOf('shard reconciled');
      assert.ok(Number(ends.at(-1)?.['waitedMilliseconds']) >= 9_000);
    });
  });
});
