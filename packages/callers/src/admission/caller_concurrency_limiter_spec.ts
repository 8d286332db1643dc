import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {Caller} from '../identity/caller_types.js';
import {CallerConcurrencyLimiter} from './caller_concurrency_limiter.js';

const CALLER: Caller = {
  name: 'rangers',
  team: 'peatland',
  role: 'caller',
  services: [],
  requestsInProgress: 4,
};

describe('caller', () => {
  describe('requests in progress', test => {
    const CASES = [
      {entries: 1, admitted: 4},
      {entries: 2, admitted: 2},
      {entries: 3, admitted: 2},
      {entries: 9, admitted: 1},
    ];
    for (const {entries, admitted} of CASES) {
      test(`are ${admitted} at one of ${entries} entries`, async () => {
        const limiter = new CallerConcurrencyLimiter(() => entries);
        let finish = () => {};
        const unfinished = new Promise<void>(resolve => (finish = resolve));
        const runs = Array.from({length: 6}, () =>
          limiter
            .execute(CALLER, () => unfinished)
            .then(
              () => 'ran',
              thrown => toChicoryspringError(thrown).kind,
            ),
        );
        finish();
        const kinds = await Promise.all(runs);
        assert.is(kinds.filter(kind => kind === 'ran').length, admitted);
        assert.is(kinds.at(-1), 'caller-limited');
        await limiter.execute(CALLER, () => unfinished);
      });
    }
  });
});
