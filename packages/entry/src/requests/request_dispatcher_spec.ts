import * as assert from 'uvu/assert';
import {
  ChicoryspringError,
  ResourcesArithmetic,
  toChicoryspringError,
  type ErrorKind,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ManualClock, describe} from '@chicoryspring/testing';
import {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import {RequestAdmission} from './request_admission.js';
import {RequestDispatcher} from './request_dispatcher.js';

type Step = ErrorKind | 'answer' | 'foreign-answer';

interface DispatchCase {
  readonly what: string;
  readonly idempotent: boolean;
  /** Results of the targets in order; each target is called once. */
  readonly steps: readonly Step[];
  readonly attempts: number;
  readonly outcome: 'answered' | 'not-run' | 'unknown';
  readonly isLate?: boolean;
}

const CASES: readonly DispatchCase[] = [
  {
    what: 'a lost answer, then no other target',
    idempotent: true,
    steps: ['answer-incomplete'],
    attempts: 1,
    outcome: 'unknown',
  },
  {
    what: 'a lost answer, then refusals',
    idempotent: true,
    steps: ['link-closed', 'draining', 'no-target'],
    attempts: 3,
    outcome: 'unknown',
  },
  {
    what: 'targets that all crash',
    idempotent: true,
    steps: [
      'answer-incomplete',
      'answer-incomplete',
      'answer-incomplete',
      'answer-incomplete',
      'answer',
    ],
    attempts: 3,
    outcome: 'unknown',
  },
  {
    what: 'a target that crashes',
    idempotent: false,
    steps: ['answer-incomplete', 'answer'],
    attempts: 1,
    outcome: 'unknown',
  },
  {
    what: 'a lost link',
    idempotent: false,
    steps: ['link-closed', 'answer'],
    attempts: 1,
    outcome: 'unknown',
  },
  {
    what: 'a target that is draining',
    idempotent: false,
    steps: ['draining', 'answer'],
    attempts: 2,
    outcome: 'answered',
  },
  {
    what: 'targets that all refuse',
    idempotent: false,
    steps: ['draining', 'no-target', 'target-unreachable', 'answer'],
    attempts: 3,
    outcome: 'not-run',
  },
  {
    what: 'the answer to another request',
    idempotent: false,
    steps: ['foreign-answer', 'answer'],
    attempts: 1,
    outcome: 'unknown',
  },
  {
    what: 'a deadline that passed before the dispatch',
    idempotent: false,
    steps: ['answer'],
    attempts: 0,
    outcome: 'not-run',
    isLate: true,
  },
];

const DEADLINE_MILLISECONDS = 1_000;

function announcementOf(
  worker: string,
): Parameters<AgentPeerDirectory['recordAnnouncement']>[0] {
  return {
    worker,
    failureDomain: 'kinangop',
    rack: 'rack-1',
    capacity: ResourcesArithmetic.none,
    service: 'records',
    slots: 8,
    running: [],
    draining: false,
  };
}

async function dispatchCase(
  row: DispatchCase,
): Promise<{readonly outcome: string; readonly attempts: number}> {
  const clock = new ManualClock();
  const steps = [...row.steps];
  let attempts = 0;
  const call = async () => {
    attempts += 1;
    const step = steps.shift()!;
    const requestId = step === 'answer' ? 'one' : 'other';
    const answer = {requestId, status: 200, contentType: 't', body: 'b'};
    if (requestId === 'one' || step === 'foreign-answer')
      return {answer, requestsInFlight: 0};
    throw new ChicoryspringError(step as ErrorKind, step);
  };
  const closed = new AbortController().signal;
  const link = {isOpen: true, closed, call} as unknown as Link;
  const agents = new AgentPeerDirectory(() => undefined);
  row.steps.forEach((_, n) =>
    agents.recordAnnouncement(announcementOf(`worker-${n}`), link),
  );
  const first = {choose: (targets: readonly never[]) => targets[0]};
  const admission = new RequestAdmission(
    agents,
    first,
    {canFinish: () => true},
    clock,
    'kinangop',
    () => [],
  );
  const dispatcher = new RequestDispatcher(admission, () => 0.1, clock);
  const request = {
    id: 'one',
    caller: 'rangers',
    service: 'records',
    idempotent: row.idempotent,
    contentType: 'text/plain',
    body: '',
    deadline: clock.now() + (row.isLate ? 0 : DEADLINE_MILLISECONDS),
  };
  const outcome = await dispatcher.dispatch(request).then(
    () => 'answered',
    thrown => toChicoryspringError(thrown).answer.outcome,
  );
  return {outcome, attempts};
}

describe('dispatch', () => {
  for (const row of CASES) {
    const kind = row.idempotent ? 'idempotent' : 'non-idempotent';
    describe(`${kind}, ${row.what}`, test => {
      test(`is ${row.outcome} after ${row.attempts} attempts`, async () => {
        const {outcome, attempts} = row;
        assert.equal(await dispatchCase(row), {outcome, attempts});
      });
    });
  }
});
