import * as assert from 'uvu/assert';
import {toChicoryspringError, type Task} from '@chicoryspring/contracts';
import type {HttpRequest} from '@chicoryspring/http-server';
import {describe} from '@chicoryspring/testing';
import {createWorkerRoutes} from './worker_routes.js';
import {WorkerStandIn} from './worker_stand_in.js';

const LEASE_MILLISECONDS = 3_000;
const TASK: Task = {
  id: 'a',
  caller: 'rangers',
  team: 'peatland',
  kind: 'run',
  taskClass: 'reconcile',
  urgent: false,
  resources: {processors: 1, memoryMebibytes: 10, accelerators: 0},
  idempotencyKey: 'a',
  input: JSON.stringify({workMilliseconds: 60_000}),
};

/** Sends a worker the stop of its task, with the fields of one release. */
async function stop(worker: WorkerStandIn, body: object): Promise<void> {
  const path = '/tasks/:id/stop';
  const route = createWorkerRoutes(worker).find(one => one.path === path);
  const request: HttpRequest = {
    headers: {},
    target: '/tasks/a/stop',
    path: {id: TASK.id},
    query: {},
    body: JSON.stringify(body),
    closed: new AbortController().signal,
  };
  await route!.answer(request);
}

function start(worker: WorkerStandIn, epoch: number): string {
  try {
    worker.start(TASK, epoch, undefined, LEASE_MILLISECONDS);
    return 'started';
  } catch (thrown) {
    return toChicoryspringError(thrown).kind;
  }
}

describe('task that was stopped at the worker stand-in', () => {
  describe('by an agent that names the epoch', test => {
    test('begins under a later epoch only', async () => {
      const worker = new WorkerStandIn();
      await stop(worker, {epoch: 2, checkpoint: false});
      assert.is(start(worker, 2), 'stale-epoch');
      assert.is(start(worker, 3), 'started');
    });
  });

  describe('by an agent of an earlier release, which names none', test => {
    test('begins again', async () => {
      const worker = new WorkerStandIn();
      await stop(worker, {checkpoint: false});
      assert.is(start(worker, 2), 'started');
    });
  });
});
