import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which a new owner has reconciled the shards of a killed one. */
const TAKEOVER_MILLISECONDS = 15_000;
const WAIT_MILLISECONDS = 5_000;
const ALL_PROCESSORS = {processors: 4, memoryMebibytes: 100, accelerators: 0};

/** Two jobs that each need the whole worker; the second waits for the first. */
async function open() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  for (const id of ['first', 'second']) {
    const job = fleet.job(id, {resources: ALL_PROCESSORS});
    await fleet.run(owner.owner.submit(job, fleet.clock.now() + 3_000));
    await fleet.pass(ROUND_MILLISECONDS);
  }
  const end = async (id: string) => {
    worker.end(`${id}.0.0.0`, 'done');
    await fleet.pass(ROUND_MILLISECONDS);
  };
  const timesOf = (id: string) => {
    const lines = fleet.log.linesOf('job ended');
    const line = lines.find(one => one['jobId'] === id);
    return (field: string) => Number(line?.[field]);
  };
  return {fleet, owner, agent, end, timesOf};
}

describe('the time of an ended job', () => {
  describe('at one owner', test => {
    test('is split between the wait for room and the work', async () => {
      const {fleet, end, timesOf} = await open();
      await fleet.pass(WAIT_MILLISECONDS);
      await end('first');
      await end('second');
      assert.is(timesOf('first')('roomMilliseconds'), 0);
      const second = timesOf('second');
      assert.ok(second('roomMilliseconds') > WAIT_MILLISECONDS);
      assert.ok(second('orderedMilliseconds') < 200);
      assert.ok(second('workMilliseconds') <= ROUND_MILLISECONDS);
      assert.is(second('accountedSince'), 0);
    });
  });

  describe('that changes its owner', test => {
    test('is accounted since the takeover', async () => {
      const {fleet, owner, agent, end, timesOf} = await open();
      await fleet.pass(WAIT_MILLISECONDS);
      owner.kill();
      fleet.link(agent, await fleet.startOwner('two'));
      await fleet.pass(TAKEOVER_MILLISECONDS);
      await end('first');
      const first = timesOf('first');
      assert.ok(first('accountedSince') > WAIT_MILLISECONDS);
      const accounted =
        first('sinceAcceptedMilliseconds') - first('accountedSince');
      assert.ok(Math.abs(first('workMilliseconds') - accounted) < 1_000);
    });
  });
});
