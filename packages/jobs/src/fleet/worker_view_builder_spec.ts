import * as assert from 'uvu/assert';
import type {RunStatus, WorkerReport} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {WorkerViewBuilder} from './worker_view_builder.js';
import type {PlacedRun} from './placed_run_types.js';

const NAME = 'j.0.0.0';
const BEST_EFFORT_RUN: PlacedRun = {
  task: NAME,
  run: 1,
  resources: {processors: 4, memoryMebibytes: 100, accelerators: 0},
  isFilling: true,
  isLasting: false,
  image: 'sort',
};

/** A report of one run on a worker of 16 processors. */
function reportOf(change: Partial<RunStatus>): WorkerReport {
  const {worker, free} = JobValues.view('a');
  const run: RunStatus = {
    task: NAME,
    run: 1,
    phase: 'running',
    checkpoint: '',
    percent: 10,
    pace: 100,
    measure: 0,
    isDescribed: true,
    ...change,
  };
  return {
    agent: 'a',
    agentLife: '1',
    version: 1,
    worker,
    free,
    runs: [run],
    endings: [],
    refusals: [],
    isComplete: true,
  };
}

describe('fleet worker view', () => {
  describe('of a best-effort run', test => {
    test('has the share of the processors that was measured', () => {
      const view = WorkerViewBuilder.fromReport(reportOf({measure: 2_000}), [
        BEST_EFFORT_RUN,
      ]);
      assert.is(view?.bestEffortRuns[0]?.share, 0.125);
      assert.is(view?.bestEffortRuns[0]?.fullShare, 0.25);
    });

    test('that is stopped has no share but counts its requested processors', () => {
      const view = WorkerViewBuilder.fromReport(reportOf({pace: 0}), [
        BEST_EFFORT_RUN,
      ]);
      assert.is(view?.bestEffortRuns[0]?.share, 0);
      assert.is(view?.bestEffortRuns[0]?.fullShare, 0.25);
      assert.is(view?.bestEffortRuns[0]?.processors, 4);
    });
  });

  describe('of a latency-critical run', test => {
    test('knows its job, its image and its tail', () => {
      const latencyCriticalRun: PlacedRun = {
        ...BEST_EFFORT_RUN,
        isFilling: false,
        isLasting: true,
        goalMilliseconds: 18,
      };
      const view = WorkerViewBuilder.fromReport(reportOf({measure: 9}), [
        latencyCriticalRun,
      ]);
      assert.equal(view?.latencyCriticalRuns, [
        {job: 'j', image: 'sort', goalMilliseconds: 18, tailMilliseconds: 9},
      ]);
    });
  });
});
