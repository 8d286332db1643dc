import type {ErrorAnswer} from './error_answer_types.js';
import type {Outcome} from '../request/outcome_types.js';

function row(
  status: number,
  outcome: Outcome,
  mayRepeat: boolean,
  operatorAction: string,
): ErrorAnswer {
  return {status, outcome, mayRepeat, operatorAction};
}

const CALLER_FAULT = 'None: the caller corrects its request.';

/** Every error kind, with its HTTP status, outcome and advice. */
export const ERROR_TABLE = {
  'malformed-request': row(400, 'not-run', false, CALLER_FAULT),
  'missing-idempotency-key': row(400, 'not-run', false, CALLER_FAULT),
  unauthenticated: row(401, 'not-run', false, 'Check the token hashes.'),
  forbidden: row(403, 'not-run', false, 'Check the rights of the caller.'),
  'unknown-route': row(404, 'not-run', false, CALLER_FAULT),
  'unknown-object': row(404, 'not-run', false, CALLER_FAULT),
  'revision-conflict': row(409, 'not-run', false, 'Read again, then apply.'),
  'stale-epoch': row(409, 'not-run', false, 'None: an owner was fenced.'),
  cancelled: row(409, 'answered', false, 'None: the caller cancelled.'),
  'body-too-large': row(413, 'not-run', false, CALLER_FAULT),
  'body-too-slow': row(408, 'not-run', true, 'Look for stalled clients.'),
  'configuration-invalid': row(422, 'not-run', false, 'Fix the configuration.'),
  'configuration-unsafe': row(422, 'not-run', false, 'Read the findings.'),
  'idempotency-key-reused': row(422, 'not-run', false, CALLER_FAULT),
  'task-fits-no-worker': row(422, 'not-run', false, 'Add a larger worker.'),
  quarantined: row(422, 'not-run', false, 'Run the command explain TASK.'),
  'quota-exceeded': row(429, 'not-run', true, 'Raise the quota of the team.'),
  'caller-limited': row(429, 'not-run', true, 'Look for a retry storm.'),
  internal: row(500, 'unknown', true, 'Report the log line as a defect.'),
  'answer-incomplete': row(502, 'unknown', true, 'Check the target.'),
  draining: row(503, 'not-run', true, 'None: the process is shutting down.'),
  overloaded: row(503, 'not-run', true, 'Add targets to the service.'),
  'no-target': row(503, 'not-run', true, 'Check that targets announce.'),
  'target-unreachable': row(503, 'not-run', true, 'Check the target.'),
  'worker-unreachable': row(503, 'not-run', true, 'Check the worker.'),
  'worker-refused': row(503, 'unknown', true, 'Check the worker.'),
  'capacity-exceeded': row(503, 'not-run', true, 'Add workers.'),
  'failure-domain-out': row(503, 'not-run', true, 'Bring the domain back.'),
  'start-permission-expired': row(503, 'not-run', true, 'Check the links.'),
  'store-unavailable': row(503, 'not-run', true, 'Check the store.'),
  'store-outcome-unknown': row(503, 'unknown', true, 'Check the store.'),
  'record-unreadable': row(503, 'not-run', true, 'Mend the value it names.'),
  'shard-unowned': row(503, 'not-run', true, 'Check the entries.'),
  'lease-lapsed': row(503, 'not-run', true, 'Look for paused processes.'),
  'link-closed': row(503, 'unknown', true, 'Check the peer of the link.'),
  'entry-cut-off': row(503, 'not-run', true, 'Check the network of the entry.'),
  'peer-unreachable': row(503, 'not-run', true, 'Check the links.'),
  'malformed-message': row(400, 'not-run', false, 'Check peer versions.'),
  'deadline-passed': row(504, 'not-run', true, 'Add targets or raise limits.'),
  'outcome-unknown': row(504, 'unknown', true, 'Check the target.'),
  'settings-invalid': row(500, 'not-run', false, 'Correct the settings.'),
} as const satisfies Readonly<Record<string, ErrorAnswer>>;
