import fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {WorkerReportDifference} from './worker_report_difference.js';
import type {WorkerReport} from './worker_report_types.js';

const RUNS = 20;
/** Values as JSON gives them. */
const PLAIN = {noNullPrototype: true};

const run = fastCheck.record(
  {
    task: fastCheck.constantFrom('j.0.0.0', 'j.0.0.1', 'k.0.0.0'),
    run: fastCheck.integer({min: 1, max: 3}),
    phase: fastCheck.constantFrom('starting' as const, 'running' as const),
    checkpoint: fastCheck.constantFrom('', 'a', 'b'),
    percent: fastCheck.integer({min: 0, max: 100}),
    pace: fastCheck.constant(100),
    measure: fastCheck.integer({min: 0, max: 9}),
    isDescribed: fastCheck.boolean(),
  },
  PLAIN,
);
const ending = fastCheck.record(
  {
    number: fastCheck.integer({min: 1, max: 9}),
    task: fastCheck.constant('j.0.0.2'),
    run: fastCheck.constant(1),
    cause: fastCheck.constant('done' as const),
    checkpoint: fastCheck.constant(''),
  },
  PLAIN,
);
const report = fastCheck.record(
  {
    agent: fastCheck.constant('a'),
    agentLife: fastCheck.constant('a@1'),
    version: fastCheck.integer({min: 1, max: 99}),
    isComplete: fastCheck.boolean(),
    free: fastCheck.record(
      {
        processors: fastCheck.integer({min: 0, max: 4}),
        memoryMebibytes: fastCheck.constant(1),
        accelerators: fastCheck.constant(0),
      },
      PLAIN,
    ),
    runs: fastCheck.uniqueArray(run, {
      selector: one => `${one.task}#${one.run}`,
    }),
    endings: fastCheck.uniqueArray(ending, {selector: one => one.number}),
    refusals: fastCheck.constant([]),
    crashedLives: fastCheck.array(fastCheck.constantFrom('x', 'y')),
  },
  PLAIN,
);

/** The report with its lists in one order, which says nothing. */
function sorted(one: WorkerReport): WorkerReport {
  const key = (value: object) => JSON.stringify(value);
  return {
    ...one,
    worker: one.worker,
    crashedRuns: one.crashedRuns,
    runs: [...one.runs].sort((left, right) =>
      key(left).localeCompare(key(right)),
    ),
    endings: [...one.endings].sort((left, right) => left.number - right.number),
  };
}

/** A report of many runs, all in progress. */
function reportOfManyRuns(version: number): WorkerReport {
  const free = {processors: 1, memoryMebibytes: 1, accelerators: 0};
  const runs = Array.from({length: RUNS}, (_, index) => ({
    task: `j.0.0.${index}`,
    run: 1,
    phase: 'running' as const,
    checkpoint: '',
    percent: 10,
    pace: 100,
    measure: 5,
    isDescribed: true,
  }));
  const empty = {endings: [], refusals: [], isComplete: true};
  return {agent: 'a', agentLife: 'a@1', version, free, runs, ...empty};
}

describe('difference of worker reports', () => {
  describe('applied to the earlier report', test => {
    test('gives the later one', () => {
      fastCheck.assert(
        fastCheck.property(report, report, (previous, next) => {
          const change = WorkerReportDifference.between(previous, next);
          const result = change
            ? WorkerReportDifference.apply(previous, change)
            : {...previous, version: next.version};
          assert.equal(sorted(result), sorted(next));
        }),
      );
    });
  });

  describe('of reports that differ in one run', test => {
    test('names only that run', () => {
      const previous = reportOfManyRuns(1);
      const next = reportOfManyRuns(2);
      const runs = next.runs.map((one, index) =>
        index === 0 ? {...one, percent: 20} : one,
      );
      const change = WorkerReportDifference.between(previous, {...next, runs});
      assert.equal(
        change?.runs?.map(one => one.task),
        ['j.0.0.0'],
      );
      assert.is(change?.removedRuns, undefined);
    });
  });

  describe('of reports without news', test => {
    test('is none', () => {
      const change = WorkerReportDifference.between(
        reportOfManyRuns(1),
        reportOfManyRuns(2),
      );
      assert.is(change, undefined);
    });
  });

  describe('of reports on two incarnations of the worker', test => {
    test('can not be described, since their endings have the same numbers', () => {
      const worker = {
        worker: 'w',
        service: 's',
        failureDomain: 'd',
        labels: [],
        capacity: {processors: 1, memoryMebibytes: 1, accelerators: 0},
        isLeaving: false,
        isAnswering: true,
      };
      const previous = {...reportOfManyRuns(1), worker: {...worker, life: '1'}};
      const next = {...reportOfManyRuns(2), worker: {...worker, life: '2'}};
      assert.not.ok(WorkerReportDifference.isDescribable(previous, next));
    });
  });
});
