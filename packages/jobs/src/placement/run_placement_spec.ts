import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {InterferenceModel} from '../interference/interference_model.js';
import {JobValues} from '../spec/job_values.js';
import {PackingRunPlacementPolicy} from './packing_run_placement_policy.js';

const NOW = 1_000;
const LATENCY_CRITICAL_RUN = {
  job: 'other',
  image: 'web',
  goalMilliseconds: 18,
  tailMilliseconds: 8,
};

/** A best-effort run that uses so many of 16 processors. */
function bestEffortRun(image: string, processors: number) {
  const share = processors / 16;
  return {image, processors, share, fullShare: share};
}

function choose(
  step: Partial<JobStep>,
  workers: readonly WorkerView[],
  model = new InterferenceModel(),
  domainsOut: readonly string[] = [],
  isStarved = false,
): string | undefined {
  const policy = new PackingRunPlacementPolicy(model);
  const task = JobValues.task(step);
  const request = {task, service: 's', domainsOut, now: NOW, isStarved};
  return policy.choose(request, workers)?.agent;
}

function withWorker(
  agent: string,
  change: Partial<WorkerView['worker']>,
): WorkerView {
  const view = JobValues.view(agent);
  return {...view, worker: {...view.worker, ...change}};
}

/** A model that has learned strong interference of one image. */
function trainedModel(image: string): InterferenceModel {
  const model = new InterferenceModel();
  for (let sample = 0; sample < 20; sample += 1) {
    const slowed = {...LATENCY_CRITICAL_RUN, tailMilliseconds: 120};
    model.observe([slowed], [bestEffortRun(image, 2)], NOW + sample);
  }
  return model;
}

/** Workers that may not run a plain task of the service. */
const FORBIDDEN: readonly (readonly [string, WorkerView])[] = [
  ['of another service', withWorker('a', {service: 'other'})],
  ['that is leaving', withWorker('a', {isLeaving: true})],
  ['that does not answer', withWorker('a', {isAnswering: false})],
  ['in a domain that is out', withWorker('a', {failureDomain: 'd2'})],
  [
    'without the memory',
    JobValues.view('a', {
      free: {processors: 16, memoryMebibytes: 99, accelerators: 0},
    }),
  ],
  [
    'without the processors',
    JobValues.view('a', {
      free: {processors: 1, memoryMebibytes: 999, accelerators: 0},
    }),
  ],
];

describe('run placement', () => {
  describe('of a task', test => {
    for (const [what, view] of FORBIDDEN) {
      test(`never takes a worker ${what}`, () => {
        assert.is(choose({}, [view], undefined, ['d2']), undefined);
      });
    }

    test('takes only a worker with the required label', () => {
      const workers = [JobValues.view('a'), withWorker('b', {labels: ['x']})];
      assert.is(choose({requiredLabel: 'x'}, workers), 'b');
      assert.is(choose({requiredLabel: 'y'}, workers), undefined);
    });

    test('keeps to the maximum of runs of the step on a worker', () => {
      const full = JobValues.view('a', {runsByStep: new Map([['j.0.0', 2]])});
      assert.is(choose({mostPerWorker: 2}, [full]), undefined);
      assert.is(choose({mostPerWorker: 3}, [full]), 'a');
    });

    test('prefers the rack of the data', () => {
      const workers = [
        withWorker('a', {labels: ['a', 'r1']}),
        withWorker('b', {labels: ['a', 'r2']}),
      ];
      assert.is(choose({dataRack: 'r2'}, workers), 'b');
    });
  });

  describe('of a long-running task', test => {
    test('packs it beside others, so that other workers stay free', () => {
      const free = {processors: 8, memoryMebibytes: 900, accelerators: 0};
      const packed = JobValues.view('b', {longRunningProcessors: 8, free});
      const workers = [JobValues.view('a'), packed];
      assert.is(choose({isLasting: true}, workers), 'b');
    });
  });

  describe('of a best-effort task', test => {
    const step = {isFilling: true, image: 'sort'};

    test('takes the worker with the most idle processors', () => {
      const bestEffortRuns = [bestEffortRun('sort', 9)];
      const workers = [
        JobValues.view('a', {bestEffortRuns}),
        JobValues.view('b'),
      ];
      assert.is(choose(step, workers), 'b');
    });

    test('takes no worker with too few idle processors', () => {
      const bestEffortRuns = [bestEffortRun('sort', 15.5)];
      const workers = [JobValues.view('a', {bestEffortRuns})];
      assert.is(choose(step, workers), undefined);
    });

    test('takes no worker with a run that it interferes with', () => {
      const workers = [
        JobValues.view('a', {latencyCriticalRuns: [LATENCY_CRITICAL_RUN]}),
      ];
      assert.is(choose(step, workers), 'a');
      assert.is(choose(step, workers, trainedModel('sort')), undefined);
      assert.is(choose(step, workers, trainedModel('other')), 'a');
    });

    test('of a job without a run takes the least unsuitable worker', () => {
      const bestEffortRuns = [bestEffortRun('sort', 15.9)];
      const full = JobValues.view('a', {bestEffortRuns});
      const slowed = JobValues.view('b', {
        latencyCriticalRuns: [LATENCY_CRITICAL_RUN],
      });
      const model = trainedModel('sort');
      assert.is(choose(step, [slowed, full], model), undefined);
      const starved = choose(step, [slowed, full], model, [], true);
      assert.is(starved, 'a');
      assert.is(choose(step, [slowed], model, [], true), 'b');
    });
  });
});
