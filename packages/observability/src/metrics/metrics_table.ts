import type {Metric} from './metric_types.js';

function counter(
  unit: string,
  tags: readonly string[],
  meaning: string,
): Metric {
  return {type: 'counter', unit, tags, meaning};
}

function gauge(unit: string, meaning: string): Metric {
  return {type: 'gauge', unit, tags: [], meaning};
}

function timing(tags: readonly string[], meaning: string): Metric {
  return {type: 'timing', unit: 'milliseconds', tags, meaning};
}

/** Every metric of the system; a process sends no other. */
export const METRICS_TABLE = {
  'entry.requests': counter(
    'requests',
    ['route', 'outcome', 'kind'],
    'Answered HTTP requests by outcome, and by error kind or `none`',
  ),
  'entry.request_time': timing(
    ['route'],
    'Time from the whole request to its answer',
  ),
  'entry.access_refusals': counter(
    'requests',
    ['kind'],
    'Requests whose token was unknown or not allowed to do this',
  ),
  'entry.task_transitions': counter(
    'transitions',
    ['event', 'state'],
    'Durable steps of tasks by event and the state after it',
  ),
  'entry.evictions': counter('evictions', [], 'Tasks that were told to stop'),
  'entry.store_calls': counter(
    'calls',
    ['call', 'result'],
    'Calls of the store by kind and result',
  ),
  'entry.jobs': counter(
    'jobs',
    ['event'],
    'Jobs that were accepted, cancelled, complete or failed',
  ),
  'entry.job_time': timing(
    ['state'],
    'Time from the acceptance of a job to its durable end, by how it ended',
  ),
  'entry.job_first_start_time': timing(
    [],
    'Time from the acceptance of a job to its first order',
  ),
  'entry.run_orders': counter(
    'orders',
    ['result'],
    'Orders to start a run, by whether the agent took them or why not',
  ),
  'entry.run_endings': counter(
    'runs',
    ['cause'],
    'Ends of runs that were taken note of, by cause',
  ),
  'entry.runs_moved': counter(
    'runs',
    [],
    'Filling runs that were moved away from where they had to work slowly',
  ),
  'entry.waiting_tasks': gauge('tasks', 'Tasks that are due without a worker'),
  'entry.configuration_revision': gauge(
    'revision',
    'Revision of the configuration in force at the entry',
  ),
  'entry.linked_agents': gauge('agents', 'Agents that are linked'),
  'entry.linked_entries': gauge('entries', 'Other entries that are linked'),
  'entry.owned_shards': gauge('shards', 'Shards that the entry owns'),
  'agent.links': gauge('links', 'Entries that the agent is linked to'),
  'agent.links_opened': counter(
    'links',
    [],
    'Links opened; more than the entries means reconnects',
  ),
  'agent.start_refusals': counter(
    'starts',
    ['kind'],
    'Task starts that the agent refused, by error kind',
  ),
  'agent.starts': counter('starts', [], 'Task starts that the agent accepted'),
  'agent.requests_in_flight': gauge(
    'requests',
    'Requests that the target serves or queues',
  ),
} as const satisfies Readonly<Record<string, Metric>>;
