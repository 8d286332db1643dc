import * as assert from 'uvu/assert';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
const TASK = 'j.0.0.0';

interface ReplacedOwnerOptions {
  /** Whether the next owner has a link to the agent of the run. */
  readonly isAgentLinked: boolean;
}

/**
 * Opens a fleet with a run of an owner, and a next owner that has no shard yet and
 * another worker with room.
 */
export async function openReplacedOwner({isAgentLinked}: ReplacedOwnerOptions) {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const next = await fleet.startOwner('two', {shards: []});
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  const ownerLink = fleet.link(agent, owner);
  const link = isAgentLinked ? fleet.link(agent, next) : ownerLink;
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  assert.ok(worker.running.has(TASK));
  fleet.link(fleet.startAgent('b', other), next);
  return {fleet, owner, next, other, link};
}
