import {createHash, randomUUID} from 'node:crypto';
import * as v from 'valibot';
import {
  ChicoryspringError,
  requireValid,
  resourcesSchema,
  type Clock,
  type ServiceAnswer,
  type Task,
  type TaskRecord,
} from '@chicoryspring/contracts';
import type {Caller, CallerConcurrencyLimiter} from '@chicoryspring/callers';
import {
  jsonAnswer,
  parseJsonBody,
  type HttpAnswer,
  type HttpRequest,
} from '@chicoryspring/http-server';
import {taskOperations} from '../operations/task_operations.js';
import type {OperationRouter} from '../operations/operation_router.js';
import type {KeyedRequestRouter} from '../requests/keyed_request_router.js';
import type {RequestDispatcher} from '../requests/request_dispatcher.js';
import type {EntryRoute} from './entry_route_types.js';
import {RequestFields} from './request_fields.js';

const OK = 200;
const ACCEPTED = 202;
const ID_LENGTH = 32;

interface CallerRoutesParts {
  readonly clock: Clock;
  readonly callerLimiter: CallerConcurrencyLimiter;
  readonly dispatcher: RequestDispatcher;
  readonly keyedRequests: KeyedRequestRouter;
  readonly operations: OperationRouter;
}

const submissionSchema = v.strictObject({
  kind: v.picklist(['run', 'watch']),
  taskClass: v.pipe(v.string(), v.nonEmpty()),
  urgent: v.optional(v.boolean(), false),
  resources: resourcesSchema,
  input: v.optional(v.string(), ''),
});

/** Routes of callers: checks, runs and watches. */
export function createCallerRoutes(
  entry: CallerRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'caller',
      method: 'POST',
      path: '/v1/services/:service/requests',
      answer: async (request, caller) => {
        const answer = await entry.callerLimiter.execute(caller, () =>
          serveCheck(entry, caller, request),
        );
        return toHttp(answer);
      },
    },
    {
      access: 'caller',
      method: 'POST',
      path: '/v1/tasks',
      answer: async (request, caller) => {
        const task = parseTask(caller, request);
        const deadline = RequestFields.deadline(entry.clock, request);
        const {submit} = taskOperations;
        const record = await entry.operations.run(submit, task, deadline);
        return jsonAnswer(ACCEPTED, describeTask(record));
      },
    },
    onTask(entry, 'GET', '/v1/tasks/:id', 'get'),
    onTask(entry, 'GET', '/v1/tasks/:id/answer', 'wait'),
    onTask(entry, 'DELETE', '/v1/tasks/:id', 'cancel'),
    explainRoute(entry),
  ];
}

function onTask(
  entry: CallerRoutesParts,
  method: EntryRoute['method'],
  path: string,
  name: 'get' | 'wait' | 'cancel',
): EntryRoute {
  return {
    access: 'caller',
    method,
    path,
    answer: async (request, caller) => {
      const input = {id: request.path['id'] ?? ''};
      const deadline = RequestFields.deadline(entry.clock, request);
      const {get} = taskOperations;
      requireTeam(caller, await entry.operations.run(get, input, deadline));
      const operation = taskOperations[name];
      const record = await entry.operations.run(operation, input, deadline);
      return jsonAnswer(OK, describeTask(record));
    },
  };
}

function explainRoute(entry: CallerRoutesParts): EntryRoute {
  return {
    access: 'caller',
    method: 'GET',
    path: '/v1/tasks/:id/explanation',
    answer: async (request, caller) => {
      const input = {id: request.path['id'] ?? ''};
      const deadline = RequestFields.deadline(entry.clock, request);
      const {get, explain} = taskOperations;
      requireTeam(caller, await entry.operations.run(get, input, deadline));
      const explanation = await entry.operations.run(explain, input, deadline);
      return jsonAnswer(OK, explanation);
    },
  };
}

async function serveCheck(
  entry: CallerRoutesParts,
  caller: Caller,
  request: HttpRequest,
): Promise<ServiceAnswer> {
  const service = request.path['service'] ?? '';
  const idempotencyKey = request.headers['idempotency-key'];
  const idempotent = request.headers['chicoryspring-idempotent'] !== 'false';
  requireService(caller, service);
  if (!idempotent && !idempotencyKey) {
    const message = 'a non-idempotent request needs an Idempotency-Key';
    throw new ChicoryspringError('missing-idempotency-key', message);
  }
  const contentType = request.headers['content-type'] ?? 'text/plain';
  const deadline = RequestFields.deadline(entry.clock, request);
  const {body} = request;
  const common = {id: randomUUID(), caller: caller.name, service};
  const fields = {...common, idempotent, contentType, body};
  if (!idempotencyKey) {
    return await entry.dispatcher.dispatch({...fields, deadline});
  }
  const keyed = {
    ...fields,
    idempotencyKey,
    claimKey: `claim-${hash(`${caller.name}/${idempotencyKey}`)}`,
    fingerprint: hash(`${service}/${contentType}/${body}`),
  };
  return await entry.keyedRequests.serve(keyed, deadline);
}

function parseTask(caller: Caller, request: HttpRequest): Task {
  const submitted = parseJsonBody(request.body);
  const submission = requireValid(submissionSchema, submitted, 'a task');
  const idempotencyKey = request.headers['idempotency-key'] ?? randomUUID();
  const id = `task-${hash(`${caller.name}/${idempotencyKey}`)}`;
  const {name, team} = caller;
  return {...submission, id, caller: name, team, idempotencyKey};
}

function requireService(caller: Caller, service: string): void {
  if (caller.services.includes(service)) return;
  const message = `${caller.name} may not use ${service}`;
  throw new ChicoryspringError('forbidden', message);
}

function requireTeam(caller: Caller, record: TaskRecord): void {
  const isOwn = record.task.team === caller.team;
  if (isOwn || caller.role === 'operator') return;
  throw new ChicoryspringError('unknown-object', 'there is no such task');
}

function describeTask(record: TaskRecord): object {
  const {task, key: id, state, epoch, worker, answer, reason} = record;
  const {kind, taskClass} = task;
  const {evictions} = record;
  return {id, kind, taskClass, state, epoch, worker, answer, reason, evictions};
}

function toHttp(answer: ServiceAnswer): HttpAnswer {
  const {status, contentType, body} = answer;
  const headers = {'chicoryspring-outcome': 'answered'};
  return {status, contentType, body, headers};
}

function hash(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, ID_LENGTH);
}
