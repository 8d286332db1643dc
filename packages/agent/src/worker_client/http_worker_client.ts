import {Pool} from 'undici';
import * as v from 'valibot';
import {
  ChicoryspringError,
  isConnectFailure,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {WorkerClient} from './worker_client_types.js';
import type {WorkerEnding} from './worker_ending_types.js';
import {workerSchemas} from './worker_schemas.js';
import type {WorkerTaskList} from './worker_task_list_types.js';

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 3_000;
/** Maximum time for which the worker delays its answer if it has no endings. */
const ENDINGS_WAIT_MILLISECONDS = 20_000;
/** One connection waits for endings; the others carry commands. */
const CONNECTIONS = 4;

/** Calls a worker over HTTP. */
export class HttpWorkerClient implements WorkerClient {
  private readonly pool: Pool;

  constructor(url: string) {
    this.pool = new Pool(url, {connections: CONNECTIONS});
  }

  async start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseMilliseconds: number,
  ): Promise<void> {
    const body = {task, epoch, checkpoint, leaseMilliseconds};
    await this.call('POST', '/tasks', workerSchemas.nothing, body);
  }

  async renew(
    tasks: readonly {
      readonly taskId: string;
      readonly leaseMilliseconds: number;
    }[],
  ): Promise<readonly string[]> {
    const schema = workerSchemas.renewal;
    return (await this.call('POST', '/leases', schema, {tasks})).missing;
  }

  async stop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    const path = `/tasks/${encodeURIComponent(taskId)}/stop`;
    const answer = await this.call('POST', path, workerSchemas.stop, {
      epoch,
      checkpoint,
    });
    return answer.checkpoint;
  }

  async list(): Promise<WorkerTaskList> {
    return await this.call('GET', '/tasks', workerSchemas.list);
  }

  async usage(): Promise<Resources> {
    return (await this.call('GET', '/usage', workerSchemas.usage)).used;
  }

  async waitForEndings(signal: AbortSignal): Promise<readonly WorkerEnding[]> {
    const path = `/endings?wait=${ENDINGS_WAIT_MILLISECONDS}`;
    const limit = 2 * ENDINGS_WAIT_MILLISECONDS;
    const schema = workerSchemas.endings;
    const answer = await this.call(
      'GET',
      path,
      schema,
      undefined,
      limit,
      signal,
    );
    return answer.endings;
  }

  async pendingEndings(): Promise<readonly WorkerEnding[]> {
    const schema = workerSchemas.endings;
    return (await this.call('GET', '/endings?wait=0', schema)).endings;
  }

  async acknowledge(taskId: string, epoch: number): Promise<void> {
    const body = {taskId, epoch};
    const path = '/endings/acknowledge';
    await this.call('POST', path, workerSchemas.nothing, body);
  }

  /** Closes the connections to the worker. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<T>(
    method: 'GET' | 'POST',
    path: string,
    schema: v.GenericSchema<unknown, T>,
    body?: object,
    limitMilliseconds = CALL_TIMEOUT_MILLISECONDS,
    signal?: AbortSignal,
  ): Promise<T> {
    try {
      const answer = await this.pool.request({
        method,
        path,
        headers: {'content-type': 'application/json'},
        body: body ? JSON.stringify(body) : null,
        headersTimeout: limitMilliseconds,
        bodyTimeout: limitMilliseconds,
        signal: signal ?? null,
      });
      const value = await answer.body.json();
      if (answer.statusCode === 200) return v.parse(schema, value);
      throw new Error(`status ${answer.statusCode}`);
    } catch (thrown) {
      const message = `worker ${path}: ${(thrown as Error).message}`;
      const kind = isConnectFailure(thrown)
        ? 'worker-unreachable'
        : 'worker-refused';
      throw new ChicoryspringError(kind, message);
    }
  }
}
