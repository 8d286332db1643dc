import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {planStop} from './stop_schedule_policy.js';

const BEGUN = 1_000_000;
const GRACES = [1, 600, 3_000, 6_000, 30_000] as const;

function plan(graceMilliseconds: number) {
  const times = {noticeMilliseconds: 2_300, holdMilliseconds: 2_850};
  return planStop(BEGUN, {graceMilliseconds, ...times});
}

describe('stop schedule', () => {
  describe('of any grace period', test => {
    for (const grace of GRACES) {
      test(`of ${grace} ms has its instants in order and ends before it`, () => {
        const stop = plan(grace);
        const instants = [
          BEGUN,
          stop.noticeEnds,
          stop.lastAcceptance,
          stop.answersDue,
          stop.deadline,
          BEGUN + grace,
        ];
        assert.equal(
          instants,
          [...instants].sort((left, right) => left - right),
        );
        assert.ok(stop.deadline < BEGUN + grace);
      });
    }
  });

  describe('of 6 s', test => {
    test('accepts through the whole notice, no wait passes the answers', () => {
      const stop = plan(6_000);
      assert.is(stop.noticeEnds, BEGUN + 2_300);
      assert.ok(stop.lastAcceptance + 2_850 <= stop.answersDue);
    });
  });
});
