import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time after which a job of one short step is past its objective. */
const LATE_MILLISECONDS = 20_000;
const ALL_ROOM = {processors: 4, memoryMebibytes: 100, accelerators: 0};
const LASTING = 'lasting.0.0.0';

/** A worker that a lasting task fills, and a younger job without room. */
async function openWithBacklog() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock);
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (id: string, step: Partial<JobStep>) => {
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    const job = fleet.job(id, {resources: ALL_ROOM, ...step});
    await fleet.run(owner.owner.submit(job, deadline));
    await fleet.pass(ROUND_MILLISECONDS);
  };
  await submit('lasting', {isLasting: true});
  await fleet.pass(LATE_MILLISECONDS);
  await submit('younger', {});
  return {fleet, worker};
}

describe('a lasting task whose run has ended', () => {
  describe('beside a backlog of younger jobs', test => {
    test('runs again before them', async () => {
      const {fleet, worker} = await openWithBacklog();
      assert.equal([...worker.running.keys()], [LASTING]);
      worker.end(LASTING, 'lapsed');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker.running.keys()], [LASTING]);
    });
  });
});
