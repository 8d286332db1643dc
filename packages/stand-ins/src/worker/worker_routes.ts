import type {Task} from '@chicoryspring/contracts';
import {
  jsonAnswer,
  parseJsonBody,
  type HttpRequest,
  type HttpRoute,
} from '@chicoryspring/http-server';
import type {WorkerStandIn} from './worker_stand_in.js';

const OK = 200;
/** Lower than every epoch, so that no start is rejected. */
const NO_EPOCH = 0;

interface StartBody {
  readonly task: Task;
  readonly epoch: number;
  readonly checkpoint?: string;
  readonly leaseMilliseconds: number;
}

interface StopBody {
  /** Absent from an agent of an earlier release. */
  readonly epoch?: number;
}

interface RenewBody {
  readonly tasks: readonly {
    readonly taskId: string;
    readonly leaseMilliseconds: number;
  }[];
}

interface AcknowledgeBody {
  readonly taskId: string;
  readonly epoch: number;
}

function route(
  method: HttpRoute['method'],
  path: string,
  answer: (request: HttpRequest) => unknown,
): HttpRoute {
  return {
    method,
    path,
    answer: async request => jsonAnswer(OK, (await answer(request)) ?? {}),
  };
}

/** The HTTP side of the worker stand-in. */
export function createWorkerRoutes(
  worker: WorkerStandIn,
): readonly HttpRoute[] {
  return [
    route('POST', '/tasks', request => {
      const body = parseJsonBody(request.body) as StartBody;
      const {task, epoch, checkpoint, leaseMilliseconds} = body;
      worker.start(task, epoch, checkpoint, leaseMilliseconds);
    }),
    route('GET', '/tasks', () => ({
      incarnation: worker.incarnation,
      tasks: worker.running.map(running => ({
        task: running.task,
        epoch: running.epoch,
        leaseMilliseconds: worker.leaseOf(running),
      })),
    })),
    route('POST', '/tasks/:id/stop', request => {
      const {epoch = NO_EPOCH} = parseJsonBody(request.body) as StopBody;
      const taskId = decodeURIComponent(request.path['id'] ?? '');
      return {checkpoint: worker.stop(taskId, epoch)};
    }),
    route('POST', '/leases', request => {
      const {tasks} = parseJsonBody(request.body) as RenewBody;
      return {missing: worker.renew(tasks)};
    }),
    route('GET', '/endings', async request => ({
      endings: await worker.endings(Number(request.query['wait'] ?? 0)),
    })),
    route('POST', '/endings/acknowledge', request => {
      const body = parseJsonBody(request.body) as AcknowledgeBody;
      worker.acknowledge(body.taskId, body.epoch);
    }),
    route('GET', '/usage', () => ({used: worker.used})),
    route('GET', '/starts', () => ({starts: worker.starts})),
    route('POST', '/faults', request => {
      const {fault} = parseJsonBody(request.body) as {readonly fault: string};
      worker.setFault(fault);
    }),
  ];
}
