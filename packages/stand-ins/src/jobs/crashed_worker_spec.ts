import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import {openLastingTask} from './lasting_task_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 20;
/** Time from the end of its last run in which a lasting task has to run again. */
const RECOVERY_MILLISECONDS = 7_000;
/** The same after the last answer of a worker that fell silent. */
const SILENT_RECOVERY_MILLISECONDS = 8_500;
/** The same once something shows that its run is over. */
const PROMPT_MILLISECONDS = 300;
/** Time in which a task runs elsewhere whose order was refused. */
const UNSENT_MILLISECONDS = 1_500;
/** Time after which the next incarnation of a crashed worker joins. */
const RESTART_MILLISECONDS = 1_000;
const TASK = 'j.0.0.0';
const NEXT_LIFE = 'a@2';

/** Throws unless the task runs on one of the workers within the time. */
async function requireRunning(
  fleet: JobFleetFixture,
  workers: readonly FakeRunWorker[],
  milliseconds: number,
) {
  const limit = fleet.clock.now() + milliseconds;
  while (!workers.some(({running}) => running.has(TASK))) {
    assert.ok(fleet.clock.now() < limit, `it runs within ${milliseconds} ms`);
    await fleet.pass(STEP_MILLISECONDS);
  }
}

/** A task whose order is refused, as its worker is gone; another has room. */
async function openWithRefusedOrder() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  worker.exit();
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(STEP_MILLISECONDS);
  assert.is(fleet.log.linesOf('start unanswered').length, 1);
  fleet.link(fleet.startAgent('b', other), owner);
  return {fleet, other};
}

describe('worker that crashes', () => {
  describe('and is gone for good', test => {
    test('holds up its lasting task no longer than its lease', async () => {
      const {fleet, worker, other} = await openLastingTask();
      worker.exit();
      await requireRunning(fleet, [other], RECOVERY_MILLISECONDS);
    });

    test('holds it up little longer where it fell silent', async () => {
      const {fleet, worker, other} = await openLastingTask();
      worker.isSilent = true;
      await requireRunning(fleet, [other], SILENT_RECOVERY_MILLISECONDS);
      assert.equal(fleet.history.concurrentRuns, []);
    });

    test('holds it up no longer where it had deregistered', async () => {
      const {fleet, agent, worker, other} = await openLastingTask();
      agent.agent.deregisterWorker();
      worker.exit();
      await requireRunning(fleet, [other], RECOVERY_MILLISECONDS);
    });
  });

  describe('before it gets a start order', test => {
    test('does not hold the task up, since the order was not sent', async () => {
      const {fleet, other} = await openWithRefusedOrder();
      await requireRunning(fleet, [other], UNSENT_MILLISECONDS);
    });
  });

  describe('and comes back as another incarnation', test => {
    test('frees its lasting task once that registers', async () => {
      const {fleet, agent, worker, other} = await openLastingTask();
      worker.exit();
      await fleet.pass(RESTART_MILLISECONDS);
      const next = new FakeRunWorker(fleet.clock, fleet.history);
      agent.register(next, NEXT_LIFE);
      await requireRunning(fleet, [next, other], PROMPT_MILLISECONDS);
    });
  });
});
