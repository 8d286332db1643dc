import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time after which a new owner gives silent agents up, and more. */
const EXPIRY_MILLISECONDS = 13_000;
const LARGE = 'large.0.0.0';

/** A worker full of small tasks, a large task that waits, and more small ones. */
async function openFull() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  const agent = fleet.startAgent('a', worker);
  fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (id: string, processors: number) => {
    const resources = {processors, memoryMebibytes: 100, accelerators: 0};
    const step = {resources, estimateMilliseconds: 1_000};
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, step), deadline));
    await fleet.pass(ROUND_MILLISECONDS);
  };
  for (const id of ['s0', 's1', 's2', 's3']) await submit(id, 1);
  await submit('large', 4);
  for (const id of ['s4', 's5', 's6', 's7']) await submit(id, 1);
  return {fleet, owner, agent, worker};
}

describe('a worker that is reserved for a large task', () => {
  describe('while small tasks wait', test => {
    test('gets the large task once its runs have ended', async () => {
      const {fleet, worker} = await openFull();
      for (const id of ['s0', 's1', 's2', 's3']) {
        worker.end(`${id}.0.0.0`, 'done');
        await fleet.pass(ROUND_MILLISECONDS);
      }
      assert.equal([...worker.running.keys()], [LARGE]);
      const last = fleet.log.linesOf('reservation ended').at(-1);
      assert.equal(
        [last?.['taskId'], last?.['agents'], last?.['reason']],
        [LARGE, 'a', 'started'],
      );
    });
  });

  describe('after a change of owner', test => {
    test('is reserved again by the new owner', async () => {
      const {fleet, owner, agent, worker} = await openFull();
      owner.kill();
      const before = fleet.log.linesOf('reservation made').length;
      fleet.link(agent, await fleet.startOwner('two'));
      await fleet.pass(EXPIRY_MILLISECONDS);
      assert.ok(fleet.log.linesOf('reservation made').length > before);
      for (const task of [...worker.running.keys()]) {
        worker.end(task, 'done');
        await fleet.pass(ROUND_MILLISECONDS);
      }
      assert.ok(worker.began.some(one => one.startsWith(LARGE)));
    });
  });
});
