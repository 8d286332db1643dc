import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {DistinctWorkersAttemptPolicy} from './distinct_workers_attempt_policy.js';

const CASES = [
  {failedWorkers: ['a'], attempts: 3, fleetSize: 11, decision: 'retry'},
  {
    failedWorkers: ['a', 'b', 'c'],
    attempts: 3,
    fleetSize: 11,
    decision: 'quarantine',
  },
  {
    failedWorkers: ['a', 'a', 'a'],
    attempts: 3,
    fleetSize: 11,
    decision: 'retry',
  },
  {
    failedWorkers: ['a', 'b'],
    attempts: 5,
    fleetSize: 2,
    decision: 'quarantine',
  },
  {failedWorkers: ['a'], attempts: 1, fleetSize: 11, decision: 'quarantine'},
  {failedWorkers: ['a'], attempts: 3, fleetSize: 0, decision: 'quarantine'},
] as const;

describe('failed attempt', () => {
  describe('distinct workers', test => {
    const policy = new DistinctWorkersAttemptPolicy();
    for (const {decision, ...attempt} of CASES) {
      test(`${JSON.stringify(attempt)} gives ${decision}`, () => {
        assert.is(policy.decide(attempt), decision);
      });
    }
  });
});
