import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {InterferenceModel} from '../interference/interference_model.js';
import {JobValues} from '../spec/job_values.js';
import {IsolatingRunPlacementPolicy} from './isolating_run_placement_policy.js';
import {PackingRunPlacementPolicy} from './packing_run_placement_policy.js';

const NOW = 1_000;

function choose(
  task: ReturnType<typeof JobValues.task>,
  ...views: readonly ReturnType<typeof JobValues.view>[]
) {
  const packing = new PackingRunPlacementPolicy(new InterferenceModel());
  const policy = new IsolatingRunPlacementPolicy(packing);
  const request = {
    task,
    service: 's',
    domainsOut: [],
    now: NOW,
    isStarved: false,
  };
  return policy.choose(request, views)?.agent;
}

function suspect() {
  const task = JobValues.task();
  task.crashes.restore([1]);
  return task;
}

describe('isolating placement', () => {
  const roomy = JobValues.view('roomy', {runCount: 2});
  const few = JobValues.view('few', {
    runCount: 1,
    free: {processors: 2, memoryMebibytes: 1_000, accelerators: 0},
  });
  const full = JobValues.view('full', {
    free: {processors: 1, memoryMebibytes: 1_000, accelerators: 0},
  });

  describe('of a suspect', test => {
    test('prefers the worker with the fewest runs that has room', () => {
      assert.is(choose(suspect(), roomy, few, full), 'few');
      assert.is(choose(suspect(), roomy, full), 'roomy');
    });
  });

  describe('of any other task', test => {
    test('is left to the other policy', () => {
      assert.is(choose(JobValues.task(), roomy, few, full), 'roomy');
    });
  });

  describe('beside an isolated run', test => {
    test('is for tasks of its job only', () => {
      const isolated = {...roomy, isolatedJob: 'other'};
      assert.is(choose(JobValues.task(), isolated, few), 'few');
      assert.is(choose(suspect(), isolated), undefined);
      assert.is(
        choose(JobValues.task(), {...roomy, isolatedJob: 'j'}),
        'roomy',
      );
    });
  });
});
