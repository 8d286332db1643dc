import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

const NAMES = ['a', 'b', 'c', 'd'] as const;
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 20;
/** Time in which the lease of a silent worker expires and a task begins. */
const EXPIRY_MILLISECONDS = 10_000;
const TASK = 'j.0.0.0';

/** A task under which three of four workers have fallen silent. */
async function openWithSilentWorkers() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const workers = NAMES.map(
    () => new FakeRunWorker(fleet.clock, fleet.history),
  );
  NAMES.forEach((name, index) =>
    fleet.link(fleet.startAgent(name, workers[index]!), owner),
  );
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  for (let silent = 0; silent < NAMES.length - 1; silent += 1)
    await silenceNext(fleet, workers);
  return {fleet, workers};
}

/** Lets the worker on which the task begins fall silent as it begins. */
async function silenceNext(
  fleet: JobFleetFixture,
  workers: readonly FakeRunWorker[],
): Promise<void> {
  const end = fleet.clock.now() + EXPIRY_MILLISECONDS;
  const hasBegun = (one: FakeRunWorker) =>
    !one.isSilent && one.running.has(TASK);
  while (fleet.clock.now() < end && !workers.some(hasBegun))
    await fleet.pass(STEP_MILLISECONDS);
  const worker = workers.find(hasBegun);
  assert.ok(worker, 'the task has begun on another worker');
  worker!.isSilent = true;
}

describe('workers that fall silent under new runs of a task', () => {
  describe('and stay silent', test => {
    test('have the task held back', async () => {
      const {fleet, workers} = await openWithSilentWorkers();
      await fleet.pass(2 * EXPIRY_MILLISECONDS);
      assert.ok(workers.every(one => one.isSilent || one.began.length === 0));
    });
  });

  describe('of which one answers again', test => {
    test('have the task run again at once', async () => {
      const {fleet, workers} = await openWithSilentWorkers();
      await fleet.pass(2 * EXPIRY_MILLISECONDS);
      workers.find(one => one.isSilent)!.isSilent = false;
      await fleet.pass(ROUND_MILLISECONDS);
      const running = workers.filter(one => one.running.has(TASK));
      assert.is(running.filter(one => !one.isSilent).length, 1);
      assert.equal(fleet.history.concurrentRuns, []);
    });
  });
});
