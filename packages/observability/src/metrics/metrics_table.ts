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
    'HTTP requests that were answered, by outcome and by error kind or `none`',
  ),
  'entry.request_time': timing(
    ['route'],
    'Time from receiving the complete request to its response',
  ),
  'entry.access_refusals': counter(
    'requests',
    ['kind'],
    'Requests rejected because their token was unknown or lacked permission',
  ),
  'entry.client_refusals': counter(
    'refusals',
    ['reason'],
    'Requests and connections of clients that were refused for a limit, by error kind of a body, `connections` or `requests-in-progress`',
  ),
  'entry.task_transitions': counter(
    'transitions',
    ['event', 'state'],
    'Durable state transitions of tasks, by event and resulting state',
  ),
  'entry.evictions': counter(
    'evictions',
    [],
    'Tasks that were told to stop by an eviction',
  ),
  'entry.store_calls': counter(
    'calls',
    ['call', 'result'],
    'Calls to the store, by kind and result',
  ),
  'entry.link_messages': counter(
    'messages',
    ['direction', 'method'],
    'Messages on links, by direction and method; answers count apart. The first part of a method names what sends it: agent, worker, entry, or the owner for run and shards',
  ),
  'entry.link_bytes': counter(
    'bytes',
    ['direction', 'method'],
    'Bytes of these messages, without framing',
  ),
  'entry.jobs': counter(
    'jobs',
    ['event'],
    'Jobs that were accepted, cancelled, complete or failed',
  ),
  'entry.job_time': timing(
    ['state'],
    'Time from the acceptance of a job until its terminal state is stored, by that state',
  ),
  'entry.job_time_cause': timing(
    ['cause', 'isLate'],
    'Time of each job that is complete or failed by what it went to, 0 too; see OPERATIONS.md',
  ),
  'entry.job_first_start_time': timing(
    [],
    'Time from the acceptance of a job to its first start order',
  ),
  'entry.run_permission_renewals': counter(
    'calls',
    ['content'],
    'Renewals of run permissions sent to agents, by `report` if they ask for one or `plain`',
  ),
  'entry.run_orders': counter(
    'orders',
    ['result'],
    'Start orders of runs, by `taken` or the error kind',
  ),
  'entry.crashed_runs': counter(
    'runs',
    [],
    'Runs that had begun shortly before their worker crashed',
  ),
  'entry.tasks_given_up': counter(
    'tasks',
    [],
    'Tasks that were given up, since workers crashed with their runs',
  ),
  'entry.run_endings': counter(
    'runs',
    ['cause'],
    'Run endings that were applied, by cause',
  ),
  'entry.runs_moved': counter(
    'runs',
    [],
    'Best-effort runs that were moved off a worker on which they were throttled',
  ),
  'entry.waiting_tasks': gauge(
    'tasks',
    'Tasks that are due and have no worker',
  ),
  'entry.reservations': gauge(
    'reservations',
    'Reservations of capacity for tasks or gangs that fit on no worker yet',
  ),
  'entry.backfilled_runs': counter(
    'runs',
    ['rule'],
    'Runs that were started on a worker reserved for another task: `beside` its capacity, expected to end `before` it is needed, by a higher priority as `bypass`, or `lasting`',
  ),
  'entry.configuration_revision': gauge(
    'revision',
    'Revision of the configuration in force at the entry',
  ),
  'entry.event_loop_delay': timing(
    [],
    'Longest time for which the event loop was blocked, of each second',
  ),
  'entry.linked_agents': gauge('agents', 'Agents with an open link'),
  'entry.linked_entries': gauge('entries', 'Other entries with an open link'),
  'entry.owned_shards': gauge('shards', 'Shards that the entry owns'),
  'agent.links': gauge('links', 'Entries to which the agent has an open link'),
  'agent.links_opened': counter(
    'links',
    [],
    'Links opened; a count above the number of entries shows reconnects',
  ),
  'agent.start_refusals': counter(
    'starts',
    ['kind'],
    'Task starts that the agent rejected, by error kind',
  ),
  'agent.starts': counter('starts', [], 'Task starts that the agent accepted'),
  'agent.requests_in_flight': gauge(
    'requests',
    'Requests that the target is serving or has queued',
  ),
} as const satisfies Readonly<Record<string, Metric>>;
