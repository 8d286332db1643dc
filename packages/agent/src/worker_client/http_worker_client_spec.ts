import * as assert from 'uvu/assert';
import {toChicoryspringError, type Task} from '@chicoryspring/contracts';
import {InterruptedServer, describe} from '@chicoryspring/testing';
import {HttpWorkerClient} from './http_worker_client.js';

const LEASE_MILLISECONDS = 3_000;
const TASK: Task = {
  id: 'task-1',
  caller: 'rangers',
  team: 'trust',
  kind: 'run',
  taskClass: 'reconcile',
  urgent: false,
  resources: {processors: 1, memoryMebibytes: 1, accelerators: 0},
  idempotencyKey: 'task-1',
  input: '',
};

async function outcomeOf(client: HttpWorkerClient): Promise<string> {
  const failure = await client
    .start(TASK, 1, undefined, LEASE_MILLISECONDS)
    .catch((thrown: unknown) => thrown);
  return toChicoryspringError(failure).answer.outcome;
}

describe('HTTP worker client', () => {
  describe('of a worker whose path rejects packets', test => {
    test('calls a start that was sent unknown, and one that was not not-run', async () => {
      const worker = await InterruptedServer.listen('ECONNREFUSED');
      const client = new HttpWorkerClient(worker.url);
      const sent = await outcomeOf(client);
      await worker.close();
      const unsent = await outcomeOf(client);
      await client.close();
      assert.is(worker.requestCount, 1);
      assert.equal({sent, unsent}, {sent: 'unknown', unsent: 'not-run'});
    });
  });
});
