import * as assert from 'uvu/assert';
import type {LinkMethodRegistry} from '@chicoryspring/links';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

const TASKS = 20;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};
const ROUND_MILLISECONDS = 1_200;
/** Time in which an ending is reported. */
const ENDING_MILLISECONDS = 500;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;

interface Message {
  readonly method: string;
  readonly input: Readonly<Record<string, unknown>>;
}

/** Records the messages that arrive at one end of a link. */
function recordMessages(registry: LinkMethodRegistry): readonly Message[] {
  const messages: Message[] = [];
  const handle = registry.handle.bind(registry);
  registry.handle = (method, input, link) => {
    messages.push({method, input: input as Message['input']});
    return handle(method, input, link);
  };
  return messages;
}

/** A worker that runs all tasks of one job, with what its agent and owner get. */
async function openWithRuns() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock, fleet.history);
  const agent = fleet.startAgent('a', worker);
  const reports = recordMessages(owner.registry);
  const orders = recordMessages(agent.registry);
  const link = fleet.link(agent, owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  const job = fleet.job('j', {count: TASKS, resources: SMALL});
  await fleet.run(owner.owner.submit(job, deadline));
  // They pass their probation, which is reported as well.
  await fleet.pass(2 * ROUND_MILLISECONDS);
  assert.is(worker.running.size, TASKS);
  return {fleet, owner, worker, link, reports, orders};
}

/** Number of runs that reports name from the given message on. */
function namedRuns(reports: readonly Message[], first: number): number {
  return reports
    .slice(first)
    .filter(({method}) => method.startsWith('worker.report'))
    .map(({input}) => input['runs'] as readonly unknown[] | undefined)
    .reduce((sum, runs) => sum + (runs?.length ?? 0), 0);
}

describe('volume of the messages between an agent and an owner', () => {
  describe('when one of many runs has ended', test => {
    test('does not grow with the runs that go on', async () => {
      const {fleet, worker, reports} = await openWithRuns();
      const first = reports.length;
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ENDING_MILLISECONDS);
      assert.ok(reports.length > first, 'the ending is reported');
      assert.ok(namedRuns(reports, first) <= 1);
    });
  });

  describe('when many runs end together', test => {
    test('settles them with few messages', async () => {
      const {fleet, worker, orders} = await openWithRuns();
      for (let index = 0; index < TASKS; index += 1)
        worker.end(`j.0.0.${index}`, 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      const settled = orders.filter(one => one.method === 'run.settled');
      assert.ok(settled.length > 0);
      assert.ok(settled.length <= 3, `${settled.length} messages`);
      assert.is(worker.acknowledgedUpTo, TASKS);
    });
  });

  describe('when the tasks of one job start', test => {
    test('carries its specification once', async () => {
      const {orders} = await openWithRuns();
      const starts = orders.filter(one => one.method === 'run.start');
      const withSpecification = starts.filter(
        ({input}) =>
          (input['order'] as {readonly spec?: string}).spec !== undefined,
      );
      assert.is(starts.length, TASKS);
      assert.is(withSpecification.length, 1);
    });
  });
});

describe('change of a worker report', () => {
  describe('that follows one that was lost', test => {
    test('has the owner ask for a full report', async () => {
      const {fleet, owner, worker, link} = await openWithRuns();
      link.isCut = true;
      worker.end('j.0.0.0', 'done');
      await fleet.pass(ENDING_MILLISECONDS);
      link.isCut = false;
      for (let index = 1; index < TASKS; index += 1)
        worker.end(`j.0.0.${index}`, 'done');
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(owner.owner.status('j'), 'complete');
      assert.equal(fleet.history.repeatedRuns, []);
    });
  });
});
