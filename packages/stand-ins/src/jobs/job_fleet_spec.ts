import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import type {JobSubmission} from '@chicoryspring/entry/jobs/job_submission_types.js';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which a silent agent's runs have certainly ended. */
const SILENT_MILLISECONDS = 9_100;

const CAUSES = [
  {cause: 'done', starts: 1, status: 'complete'},
  {cause: 'failed', starts: 2, status: 'running'},
  {cause: 'stopped', starts: 2, status: 'running'},
  {cause: 'lapsed', starts: 2, status: 'running'},
] as const;

async function open(...agents: readonly string[]) {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const workers = agents.map(() => new FakeRunWorker(fleet.clock));
  const started = agents.map((name, at) =>
    fleet.startAgent(name, workers[at]!),
  );
  const links = started.map(agent => fleet.link(agent, owner));
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (job: ReturnType<JobFleetFixture['job']>) => {
    const deadline = fleet.clock.now() + 3_000;
    const status = await fleet.run(owner.owner.submit(job, deadline));
    await fleet.pass(ROUND_MILLISECONDS);
    return status;
  };
  return {fleet, owner, workers, agents: started, links, submit};
}

describe('job fleet', () => {
  describe('a job', test => {
    test('runs its steps one after the other', async () => {
      const {fleet, owner, workers, submit} = await open('a');
      const [worker] = workers;
      assert.is(
        await submit(fleet.job('j', {count: 2}, {after: [0]})),
        'queued',
      );
      assert.equal([...worker!.running.keys()], ['j.0.0.0', 'j.0.0.1']);
      worker!.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker!.running.keys()], ['j.0.0.1']);
      worker!.end('j.0.0.1', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.equal([...worker!.running.keys()], ['j.0.1.0']);
      worker!.end('j.0.1.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(owner.owner.status('j'), 'complete');
      assert.is(worker!.acknowledgedUpTo, 3);
    });

    test('that is submitted again stays one job', async () => {
      const {fleet, workers, submit} = await open('a');
      await submit(fleet.job('j', {}));
      assert.is(await submit(fleet.job('j', {count: 9})), 'running');
      assert.is(workers[0]!.began.length, 1);
    });

    test('of no queue is refused', async () => {
      const {fleet, owner} = await open('a');
      const job = {...fleet.job('j', {}), queue: 'none'};
      const failure = await owner.owner.submit(job, 0).catch(thrown => thrown);
      assert.is(toChicoryspringError(failure).kind, 'unknown-route');
    });

    test('is judged by the newer configuration of its entry and its owner', async () => {
      const {fleet, owner} = await open('a');
      const deadline = fleet.clock.now() + 3_000;
      const known = fleet.job('j', {});
      const added = {...fleet.job('k', {}), queue: 'added'};
      const submit = (job: JobSubmission) =>
        fleet
          .run(owner.owner.submit(job, deadline))
          .catch(thrown => toChicoryspringError(thrown).kind);
      const {terms, configurationRevision} = fleet;
      const newer = {revision: configurationRevision + 1};
      const older = {revision: configurationRevision - 1};
      const outcomes = [
        await submit({...added, received: {...newer, terms}}),
        await submit({...added, id: 'l', received: {...older, terms}}),
        await submit({...known, received: newer}),
        await submit({...known, received: older}),
      ];
      const refused = 'unknown-route';
      assert.equal(outcomes, ['queued', refused, refused, 'queued']);
    });

    test('has failed once a task has failed its attempts', async () => {
      const {fleet, owner, workers, submit} = await open('a', 'b');
      await submit(fleet.job('j', {count: 2}));
      for (let attempt = 0; attempt < 2; attempt += 1) {
        for (const worker of workers) worker.end('j.0.0.0', 'failed');
        await fleet.pass(ROUND_MILLISECONDS);
      }
      assert.is(owner.owner.status('j'), 'failed');
      assert.is(workers[0]!.running.size + workers[1]!.running.size, 0);
    });

    test('that is cancelled stops', async () => {
      const {fleet, owner, workers, submit} = await open('a');
      await submit(fleet.job('j', {count: 3, isLasting: true}));
      assert.is(workers[0]!.running.size, 3);
      assert.is(await fleet.run(owner.owner.cancel('j')), 'cancelled');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(workers[0]!.running.size, 0);
    });

    test('that is unknown has no state', async () => {
      const {owner} = await open('a');
      assert.throws(() => owner.owner.status('none'));
    });
  });

  describe('an end', test => {
    for (const {cause, starts, status} of CAUSES) {
      test(`${cause} leaves the job ${status}`, async () => {
        const {fleet, owner, workers, submit} = await open('a', 'b');
        await submit(fleet.job('j', {}));
        for (const worker of workers) worker.end('j.0.0.0', cause);
        await fleet.pass(3 * ROUND_MILLISECONDS);
        const began = workers.flatMap(worker => worker.began);
        assert.is(began.length, starts);
        assert.is(new Set(began).size, starts, 'run numbers rise');
        assert.is(owner.owner.status('j'), status);
      });
    }

    test('of a lasting task starts it again', async () => {
      const {fleet, workers, submit} = await open('a', 'b');
      await submit(fleet.job('j', {isLasting: true}));
      for (let end = 0; end < 4; end += 1) {
        for (const worker of workers) worker.end('j.0.0.0', 'failed');
        await fleet.pass(2 * ROUND_MILLISECONDS);
      }
      assert.is(workers[0]!.running.size + workers[1]!.running.size, 1);
    });

    test('is kept by the worker while the store is down', async () => {
      const {fleet, workers, submit} = await open('a');
      const [worker] = workers;
      await submit(fleet.job('j', {}, {after: [0]}));
      fleet.store.isDown = true;
      worker!.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker!.acknowledgedUpTo, 0);
      assert.ok(worker!.running.has('j.0.1.0'), 'the next step starts');
      fleet.store.isDown = false;
      await fleet.pass(3 * ROUND_MILLISECONDS);
      assert.is(worker!.acknowledgedUpTo, 1);
    });
  });

  describe('a new owner', test => {
    test('takes over what runs and starts nothing twice', async () => {
      const {fleet, owner, workers, agents, submit} = await open('a', 'b');
      await submit(fleet.job('j', {count: 4}, {after: [0]}));
      owner.kill();
      const next = await fleet.startOwner('two');
      for (const agent of agents) fleet.link(agent, next);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      const began = workers.flatMap(worker => worker.began);
      assert.is(began.length, 4);
      for (const worker of workers) {
        for (const task of [...worker.running.keys()]) worker.end(task, 'done');
      }
      await fleet.pass(2 * ROUND_MILLISECONDS);
      const running = workers.flatMap(one => [...one.running.keys()]);
      assert.equal(running, ['j.0.1.0']);
    });

    test('waits out the leases of an agent that is silent', async () => {
      const {fleet, owner, workers, agents, links, submit} = await open(
        'a',
        'b',
      );
      await submit(fleet.job('j', {}));
      const at = workers.findIndex(one => one.running.size > 0);
      links[at]!.isCut = true;
      owner.kill();
      const next = await fleet.startOwner('two');
      fleet.link(agents[1 - at]!, next);
      await fleet.pass(SILENT_MILLISECONDS - 1_000);
      assert.is(workers[1 - at]!.running.size, 0, 'it may still run there');
      await fleet.pass(1_000 + ROUND_MILLISECONDS);
      assert.is(workers[1 - at]!.running.size, 1);
    });

    test('makes an agent refuse orders of the earlier one', async () => {
      const {fleet, owner, submit} = await open();
      await submit(fleet.job('j', {}));
      owner.lapseUnnoticed();
      const next = await fleet.startOwner('two');
      const worker = new FakeRunWorker(fleet.clock);
      const agent = fleet.startAgent('a', worker);
      fleet.link(agent, next);
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.link(agent, owner);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(worker.began.length, 1);
    });
  });

  describe('an order', test => {
    test('without an answer that is carried out late runs once', async () => {
      const {fleet, workers, submit} = await open('a');
      const [worker] = workers;
      worker!.starts.next = ['late'];
      await submit(fleet.job('j', {}));
      assert.is(worker!.began.length, 1, 'the order was repeated');
      worker!.applyLate();
      worker!.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      worker!.applyLate();
      await fleet.pass(ROUND_MILLISECONDS);
      assert.is(worker!.began.length, 1);
    });

    test('is taken by no worker that does not answer', async () => {
      const {fleet, workers, submit} = await open('a', 'b');
      workers[0]!.isSilent = true;
      await fleet.pass(3 * ROUND_MILLISECONDS);
      await submit(fleet.job('j', {count: 3}));
      assert.is(workers[1]!.running.size, 3);
    });
  });

  describe('a worker', test => {
    test('that is silent for good loses its tasks to another', async () => {
      const {fleet, workers, submit} = await open('a', 'b');
      await submit(fleet.job('j', {isLasting: true}));
      const at = workers.findIndex(one => one.running.size > 0);
      workers[at]!.isSilent = true;
      await fleet.pass(5_000);
      assert.is(workers[1 - at]!.running.size, 0, 'it may still run there');
      await fleet.pass(6_000);
      assert.is(workers[1 - at]!.running.size, 1);
    });
  });

  describe('an owner that wins its shards back', test => {
    test('takes note of ends that it had not made durable', async () => {
      const {fleet, owner, workers, links, submit} = await open('a');
      await submit(fleet.job('j', {}));
      fleet.store.isDown = true;
      workers[0]!.end('j.0.0.0', 'done');
      await fleet.pass(ROUND_MILLISECONDS);
      fleet.store.isDown = false;
      await owner.winBack();
      await fleet.pass(3 * ROUND_MILLISECONDS);
      assert.is(links[0]!.isOpen, true);
      assert.is(owner.owner.status('j'), 'complete');
      assert.is(workers[0]!.began.length, 1);
    });
  });

  describe('an agent that starts again', test => {
    test('answers for what it finds on its worker', async () => {
      const {fleet, owner, workers, agents, links, submit} = await open('a');
      await submit(fleet.job('j', {count: 2}));
      agents[0]!.kill();
      links[0]!.close();
      const again = fleet.startAgent('a', workers[0]!);
      fleet.link(again, owner);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(workers[0]!.began.length, 2);
      assert.is(workers[0]!.running.size, 2);
    });

    test('with a worker in another life starts the tasks anew', async () => {
      const {fleet, owner, agents, links, submit} = await open('a');
      await submit(fleet.job('j', {count: 2}));
      agents[0]!.kill();
      links[0]!.close();
      const other = new FakeRunWorker(fleet.clock);
      fleet.link(fleet.startAgent('a', other, 'a@2'), owner);
      await fleet.pass(2 * ROUND_MILLISECONDS);
      assert.is(other.running.size, 2);
    });
  });
});
