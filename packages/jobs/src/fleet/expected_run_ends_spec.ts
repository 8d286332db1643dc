import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {DurationModel} from '../duration/duration_model.js';
import {WorkRateTable} from '../duration/work_rate_table.js';
import {JobValues} from '../spec/job_values.js';
import {ExpectedRunEnds} from './expected_run_ends.js';
import type {RunInProgress} from './run_in_progress_types.js';

const NOW = 100_000;
const RUN: RunInProgress = {
  stepClass: {queue: 'q', stepNumber: 0, estimateMilliseconds: 4_000},
  commitment: {processors: 2, memoryMebibytes: 100, accelerators: 0},
  isLasting: false,
  activeMilliseconds: 1_000,
  firstPercent: 0,
  percent: 0,
  pace: 100,
};

/** Times until the ends on a worker with runs, and so much free memory. */
function waitsOf(
  runs: readonly Partial<RunInProgress>[],
  memoryMebibytes: number,
  hasForeignLastingRun = false,
): readonly number[] {
  const source = {
    runsOn: () => runs.map(one => ({...RUN, ...one})),
    hasForeignLastingRun: () => hasForeignLastingRun,
  };
  const rates = new WorkRateTable();
  const ends = new ExpectedRunEnds(source, new DurationModel(), rates);
  const free = {processors: 16, memoryMebibytes, accelerators: 0};
  const view = JobValues.view('a', {free});
  return ends.endsOn(view, NOW).map(({instant}) => instant - NOW);
}

describe('expected ends', () => {
  describe('of a run', test => {
    const CASES: readonly (readonly [
      string,
      Partial<RunInProgress>,
      number,
    ])[] = [
      ['follow its estimate', {}, 3_000],
      ['follow its progress rather than that', {percent: 50}, 1_000],
      ['are later at a lower pace', {pace: 50}, 6_000],
      ['are moved once it is overdue', {activeMilliseconds: 8_000}, 4_000],
      ['are earlier if it was resumed', {firstPercent: 50}, 1_000],
      ['are infinite if it lasts', {isLasting: true}, Infinity],
    ];
    for (const [what, change, expected] of CASES) {
      test(what, () => {
        assert.equal(waitsOf([change], 900), [expected]);
      });
    }
  });

  describe('on a worker', test => {
    test('are sorted, those of other owners assumed', () => {
      const runs = [{isLasting: true}, {}, {percent: 50}];
      assert.equal(waitsOf(runs, 600), [1_000, 3_000, 30_000, Infinity]);
      assert.equal(waitsOf([{}], 600, true), [3_000, Infinity]);
    });
  });
});
