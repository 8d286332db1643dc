import * as assert from 'uvu/assert';
import {ResourcesArithmetic} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LoadReporter} from './load_reporter.js';

describe('load', () => {
  describe('report', test => {
    test('is sent on a change, and every 10 s without one', async () => {
      const clock = new ManualClock();
      const stopping = new AbortController();
      let reports = 0;
      let requestsInFlight = 0;
      const link = {notify: () => (reports += 1)} as unknown as Link;
      const none = ResourcesArithmetic.none;
      const reporter = new LoadReporter(
        'worker-1',
        {usage: async () => none},
        () => [link],
        () => ({
          free: none,
          requestsInFlight,
          tailMilliseconds: 0,
          measured: none,
        }),
        clock,
        {loadReported: () => undefined},
      );
      void reporter.run(stopping.signal);
      const counts: number[] = [];
      for (let round = 0; round < 7; round += 1) {
        if (round === 2) requestsInFlight = 1;
        await clock.advance(round === 0 ? 0 : 2_000);
        counts.push(reports);
      }
      stopping.abort();
      assert.equal(counts, [1, 1, 2, 2, 2, 2, 2]);
      assert.is(reports, 2);
    });
  });
});
