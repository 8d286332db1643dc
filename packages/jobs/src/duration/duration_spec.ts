import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {DurationModel} from './duration_model.js';
import {RunActivity} from './run_activity.js';
import {WorkRateTable} from './work_rate_table.js';

const STEP = {queue: 'q', stepNumber: 0, estimateMilliseconds: 1_000};

function modelOf(...durations: readonly number[]): DurationModel {
  const model = new DurationModel();
  for (const one of durations) model.record(STEP, one);
  return model;
}

function assertNear(actual: number, expected: number): void {
  const isNear = Math.abs(actual - expected) <= expected * 0.02;
  assert.ok(isNear, `${actual} is not near ${expected}`);
}

describe('run times', () => {
  describe('of a class with few observations', test => {
    test('are the declared ones, with a tail that allows for the error', () => {
      const {expectedMilliseconds, tailMilliseconds, ...others} = modelOf(
        ...Array.from({length: 7}, () => 300),
      ).estimate(STEP);
      assert.is(expectedMilliseconds, 1_000);
      assertNear(tailMilliseconds, 10_000);
      assert.equal(others, {observations: 7, isLearned: false});
    });

    test('have no tail where none are declared', () => {
      const step = {...STEP, estimateMilliseconds: 0};
      assert.is(modelOf().estimate(step).tailMilliseconds, Infinity);
    });
  });

  describe('of a class with enough observations', test => {
    test('are learned', () => {
      const durations = Array.from({length: 100}, (_, index) => 10 * index);
      const model = modelOf(...durations);
      assertNear(model.estimate(STEP).expectedMilliseconds, 490);
      assertNear(model.estimate(STEP).tailMilliseconds, 940);
    });

    test('follow a change', () => {
      const before = Array.from({length: 128}, () => 1_000);
      const after = Array.from({length: 256}, () => 3_000);
      assertNear(
        modelOf(...before, ...after).estimate(STEP).expectedMilliseconds,
        3_000,
      );
    });

    test('are kept apart by queue, step and size of the estimate', () => {
      const model = modelOf(...Array.from({length: 20}, () => 300));
      assert.ok(model.estimate({...STEP, estimateMilliseconds: 900}).isLearned);
      const others = [{queue: 'r'}, {stepNumber: 1}, {estimateMilliseconds: 9}];
      for (const other of others)
        assert.not.ok(model.estimate({...STEP, ...other}).isLearned);
    });
  });
});

describe('work rate', () => {
  describe('of a worker', test => {
    test('is the fleet median over its own, after enough runs', () => {
      const rates = new WorkRateTable();
      for (let run = 0; run < 7; run += 1) rates.record('a', 2);
      assert.is(rates.rateOf('a'), 1);
      rates.record('a', 2);
      assert.is(rates.rateOf('a'), 0.5);
      assert.is(rates.rateOf('b'), 1);
    });
  });
});

describe('run activity', () => {
  const run = {run: 1, agent: 'a', agentLife: '', life: ''};
  const state = {phase: 'running', percent: 0, pace: 100} as const;
  const ordered = RunActivity.ordered({...run, ...state, orderedAt: 1_000});

  describe('at a lower pace', test => {
    test('counts for less', () => {
      const activity = ordered.withPace(50, 3_000);
      assert.is(activity.activeMilliseconds(4_000), 2_500);
    });
  });

  describe('of a run that waits to begin', test => {
    test('does not count the wait', () => {
      const activity = ordered.notBegun(3_000);
      assert.is(activity.activeMilliseconds(4_000), 1_000);
    });
  });
});
