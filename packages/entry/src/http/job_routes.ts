import {
  jobSchema,
  requireValid,
  type Clock,
  type Job,
} from '@chicoryspring/contracts';
import {
  jsonAnswer,
  parseJsonBody,
  type HttpRequest,
} from '@chicoryspring/http-server';
import type {JobApi} from '../jobs/job_api_types.js';
import type {EntryRoute} from './entry_route_types.js';
import {RequestFields} from './request_fields.js';

const OK = 200;
const ACCEPTED = 202;

interface JobRoutesParts {
  readonly jobs: JobApi;
  readonly clock: Clock;
}

/** Routes of jobs: submit, state, cancel, and pending jobs of a queue. */
export function createJobRoutes(parts: JobRoutesParts): readonly EntryRoute[] {
  const {jobs, clock} = parts;
  const onJob = (
    method: 'GET' | 'DELETE',
    work: 'status' | 'cancel',
  ): EntryRoute => ({
    access: 'caller',
    method,
    path: '/v1/jobs/:id',
    answer: async request => {
      const id = request.path['id'] ?? '';
      const deadline = RequestFields.deadline(clock, request);
      return jsonAnswer(OK, {id, state: await jobs[work](id, deadline)});
    },
  });
  return [
    {
      access: 'caller',
      method: 'POST',
      path: '/v1/queues/:queue/jobs/:id',
      answer: async request => {
        const job = parseJob(request);
        const deadline = RequestFields.deadline(clock, request);
        const state = await jobs.submit(job, deadline);
        return jsonAnswer(ACCEPTED, {id: job.id, state});
      },
    },
    onJob('GET', 'status'),
    onJob('DELETE', 'cancel'),
    {
      access: 'caller',
      method: 'GET',
      path: '/v1/queues/:queue',
      answer: async request => {
        const queue = request.path['queue'] ?? '';
        const deadline = RequestFields.deadline(clock, request);
        return jsonAnswer(OK, {
          queue,
          pending: await jobs.pending(queue, deadline),
        });
      },
    },
  ];
}

function parseJob(request: HttpRequest): Job {
  const {id, queue} = request.path;
  const submitted = parseJsonBody(request.body);
  const value = typeof submitted === 'object' ? submitted : {};
  return requireValid(jobSchema, {...value, id, queue}, 'a job');
}
