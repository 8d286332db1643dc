import * as assert from 'uvu/assert';
import {
  ChicoryspringError,
  toChicoryspringError,
  type ErrorKind,
} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {KeyedRequestRouter} from './keyed_request_router.js';

interface RouterCase {
  readonly owner: ErrorKind;
  readonly here: ErrorKind | 'answered';
  readonly idempotent: boolean;
  readonly outcome: string;
}

const CASES: readonly RouterCase[] = [
  {
    owner: 'shard-unowned',
    here: 'answered',
    idempotent: true,
    outcome: 'answered',
  },
  {
    owner: 'link-closed',
    here: 'answered',
    idempotent: true,
    outcome: 'answered',
  },
  {
    owner: 'link-closed',
    here: 'no-target',
    idempotent: true,
    outcome: 'unknown',
  },
  {
    owner: 'shard-unowned',
    here: 'no-target',
    idempotent: true,
    outcome: 'not-run',
  },
  {
    owner: 'idempotency-key-reused',
    here: 'answered',
    idempotent: true,
    outcome: 'not-run',
  },
  {
    owner: 'shard-unowned',
    here: 'answered',
    idempotent: false,
    outcome: 'not-run',
  },
];

describe('request with a key', () => {
  for (const {owner, here, idempotent, outcome} of CASES) {
    const kind = idempotent ? 'idempotent' : 'non-idempotent';
    describe(`${kind}, owner ${owner}, here ${here}`, test => {
      test(`is ${outcome}`, async () => {
        const fail = async () => {
          throw new ChicoryspringError(owner, owner);
        };
        const serve = async () => {
          if (here !== 'answered') throw new ChicoryspringError(here, here);
          return {requestId: '', status: 200, contentType: '', body: ''};
        };
        const clock = new ManualClock();
        const router = new KeyedRequestRouter(
          {run: fail, tryOnce: fail},
          {serve},
          clock,
        );
        const keyed = {
          claimKey: '',
          fingerprint: '',
          id: '',
          caller: '',
          service: '',
          idempotencyKey: '',
          idempotent,
          contentType: '',
          body: '',
        };
        const served = router.serve(keyed, clock.now() + 1_000);
        const result = await served.then(
          () => 'answered',
          thrown => toChicoryspringError(thrown).answer.outcome,
        );
        assert.is(result, outcome);
      });
    });
  }
});
