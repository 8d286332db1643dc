import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {Target} from '../target/target_types.js';
import {RetryBudget} from '../retries/retry_budget.js';
import {DeadlineAdmissionPolicy} from './deadline_admission_policy.js';
import {GradientConcurrencyLimit} from './gradient_concurrency_limit.js';

const SLOTS = 8;

function target(latencyMilliseconds?: number): Target {
  return {
    worker: 'worker-1',
    service: 'records',
    failureDomain: 'kinangop',
    slots: SLOTS,
    requestsInFlight: SLOTS,
    reportedInFlight: SLOTS,
    tailMilliseconds: 0,
    concurrencyLimit: SLOTS,
    latencyMilliseconds,
  };
}

describe('limit', () => {
  describe('of a target', test => {
    const CASES = [
      {what: 'steady and used', latency: 10, inFlight: 8, from: 16, to: 16},
      {what: 'steady and idle', latency: 10, inFlight: 1, from: 8, to: 8},
      {what: 'four times slower', latency: 40, inFlight: 8, from: 1, to: 7},
      {what: 'ten times slower', latency: 100, inFlight: 8, from: 1, to: 7},
    ];
    for (const {what, latency, inFlight, from, to} of CASES) {
      test(`that is ${what} is from ${from} to ${to}`, () => {
        const limit = new GradientConcurrencyLimit(SLOTS);
        for (let n = 0; n < 100; n += 1) limit.recordAnswer(10, 1);
        for (let n = 0; n < 100; n += 1) limit.recordAnswer(latency, inFlight);
        assert.ok(limit.limit >= from, String(limit.limit));
        assert.ok(limit.limit <= to, String(limit.limit));
      });
    }

    test('that drops every request is one', () => {
      const limit = new GradientConcurrencyLimit(SLOTS);
      for (let n = 0; n < 100; n += 1) limit.recordDrop();
      assert.is(limit.limit, 1);
    });
  });

  describe('of the waiting time', test => {
    const CASES = [
      {latency: 10, waiting: 0, remaining: 20, admitted: true},
      {latency: 10, waiting: 0, remaining: 5, admitted: false},
      {latency: 10, waiting: 80, remaining: 100, admitted: false},
      {latency: 10, waiting: 80, remaining: 200, admitted: true},
      {latency: undefined, waiting: 80, remaining: 1, admitted: true},
    ];
    for (const {latency, waiting, remaining, admitted} of CASES) {
      const verb = admitted ? 'admits' : 'rejects';
      test(`${verb} ${remaining} ms behind ${waiting} at ${latency} ms`, () => {
        const policy = new DeadlineAdmissionPolicy();
        const targets = [target(latency)];
        assert.is(policy.canFinish(targets, waiting, remaining), admitted);
      });
    }
  });

  describe('of retries', test => {
    test('is the initial balance, then a share of the first attempts', () => {
      const budget = new RetryBudget();
      const spendAll = () => {
        let spent = 0;
        while (budget.trySpend()) spent += 1;
        return spent;
      };
      assert.is(spendAll(), 100);
      for (let n = 0; n < 100; n += 1) budget.recordFirstAttempt(0.125);
      assert.is(spendAll(), 12);
      for (let n = 0; n < 10_000; n += 1) budget.recordFirstAttempt(0.125);
      assert.is(spendAll(), 100);
    });
  });
});
