import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {CallBudget} from './call_budget.js';

describe('call budget', () => {
  describe('beyond the burst', test => {
    test('delays calls to the steady rate', () => {
      const budget = new CallBudget(100, 2);
      const waits = [1, 2, 3, 4].map(() => budget.reserve(0, 1_000));
      assert.equal(waits, [0, 0, 10, 20]);
    });

    test('rejects a call that would wait too long', () => {
      const budget = new CallBudget(10, 1);
      assert.is(budget.reserve(0, 150), 0);
      assert.is(budget.reserve(0, 150), 100);
      assert.is(budget.reserve(0, 150), undefined);
      assert.is(budget.reserve(100, 150), 100);
    });

    test('never accumulates more than the burst', () => {
      const budget = new CallBudget(100, 2);
      budget.reserve(0, 0);
      const later = [1, 2, 3].map(() => budget.reserve(60_000, 0));
      assert.equal(later, [0, 0, undefined]);
    });
  });
});
