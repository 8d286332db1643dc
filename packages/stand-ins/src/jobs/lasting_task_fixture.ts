import * as assert from 'uvu/assert';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const TASK = 'j.0.0.0';
const LIFE = 'a@1';

/** Opens a fleet with a lasting task on a worker; another worker has room. */
export async function openLastingTask() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker, LIFE);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  const job = fleet.job('j', {isLasting: true});
  await fleet.run(owner.owner.submit(job, deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  const otherAgent = fleet.startAgent('b', other);
  fleet.link(otherAgent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  return {fleet, owner, agent, link, otherAgent, worker, other};
}
