import * as assert from 'uvu/assert';
import type {RunOrder} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {CrashedRunList} from './crashed_run_list.js';
import {ManagedRun} from './managed_run.js';
import {RunIsolation} from './run_isolation.js';

const NOW = 10_000;
/** Instants within and after the probation of a run confirmed at `NOW`. */
const DURING = NOW + 499;
const AFTER = NOW + 500;
/** An instant within a long probation of that run. */
const LONG_AFTER = NOW + 9_999;
/** More than a report repeats. */
const MANY = 300;

function runOf(task: string, change: Partial<RunOrder> = {}): ManagedRun {
  const order = {
    task,
    run: 1,
    spec: '',
    description: {
      resources: {processors: 1, memoryMebibytes: 1, accelerators: 0},
      isFilling: false,
      isLasting: false,
    },
    pace: 100,
    ...change,
  };
  return ManagedRun.fromOrder(order, NOW);
}

/** A run whose start the worker confirmed at `NOW`. */
function begunRunOf(task: string, change: Partial<RunOrder> = {}): ManagedRun {
  const run = runOf(task, change);
  run.mayHaveBegun = true;
  run.startConfirmedAt = NOW;
  return run;
}

describe('run isolation', () => {
  describe('of a run that waits', test => {
    const isolated = runOf('j.0.0.0', {isIsolated: true});

    test('lasts until runs of other jobs have passed their probation', () => {
      const others = [isolated, begunRunOf('k.0.0.0')];
      assert.ok(RunIsolation.runToWaitFor(isolated, others, DURING));
      assert.is(RunIsolation.runToWaitFor(isolated, others, AFTER), undefined);
    });

    test('lasts while the start of another run is unanswered', () => {
      const unanswered = runOf('k.0.0.0');
      unanswered.mayHaveBegun = true;
      assert.ok(RunIsolation.runToWaitFor(isolated, [unanswered], AFTER));
    });

    test('is not for runs of its own job', () => {
      const members = [isolated, begunRunOf('j.0.0.1')];
      assert.is(
        RunIsolation.runToWaitFor(isolated, members, DURING),
        undefined,
      );
    });

    test('keeps runs of other jobs out', () => {
      const other = runOf('k.0.0.0');
      assert.not.ok(RunIsolation.admits(other, [isolated], NOW));
      assert.ok(RunIsolation.admits(runOf('j.0.0.1'), [isolated], NOW));
    });

    test('does not wait for runs that wait as well', () => {
      const waiting = runOf('k.0.0.0');
      const both = [isolated, waiting];
      assert.is(RunIsolation.runToWaitFor(isolated, both, NOW), undefined);
      assert.is(RunIsolation.runToWaitFor(waiting, both, NOW), undefined);
    });
  });

  describe('of a run that has begun', test => {
    const isolated = begunRunOf('j.0.0.0', {isIsolated: true});

    test('lasts longer with a long probation', () => {
      const change = {isIsolated: true, hasLongProbation: true};
      const longer = begunRunOf('j.0.0.0', change);
      const other = runOf('k.0.0.0');
      assert.not.ok(RunIsolation.admits(other, [longer], LONG_AFTER));
      assert.ok(RunIsolation.admits(other, [longer], LONG_AFTER + 1));
    });

    test('ends with its probation', () => {
      const other = runOf('k.0.0.0');
      assert.not.ok(RunIsolation.admits(other, [isolated], DURING));
      assert.ok(RunIsolation.runToWaitFor(other, [isolated], DURING));
      assert.ok(RunIsolation.admits(other, [isolated], AFTER));
      assert.is(RunIsolation.runToWaitFor(other, [isolated], AFTER), undefined);
    });
  });
});

describe('probation of a run', () => {
  const listed = {
    task: 'j.0.0.0',
    run: 1,
    checkpoint: '',
    percent: 0,
    measure: 0,
  };

  describe('that the worker lists', test => {
    test('is passed once the list was asked for after its end', () => {
      const run = begunRunOf('j.0.0.0');
      // An answer that is late shows the worker as it was before.
      run.applyListing(listed, DURING, AFTER);
      assert.is(run.statusAt(AFTER).hasPassedProbation, undefined);
      run.applyListing(listed, AFTER, AFTER);
      assert.is(run.statusAt(AFTER).hasPassedProbation, true);
    });

    test('begins with the first list if the start got no answer', () => {
      const run = runOf('j.0.0.0');
      run.applyListing(listed, NOW, NOW);
      assert.is(run.statusAt(NOW).hasPassedProbation, undefined);
      run.applyListing(listed, AFTER, AFTER);
      assert.is(run.statusAt(AFTER).hasPassedProbation, true);
    });
  });
});

describe('crashed runs', () => {
  describe('of a report', test => {
    test('are bounded, the newest are kept', () => {
      const list = new CrashedRunList();
      for (let run = 1; run <= MANY; run += 1)
        list.add([{life: 'a@1', task: 'j.0.0.0', run}]);
      assert.is(list.all.at(-1)!.run, MANY);
      assert.ok(list.all.length < MANY);
    });

    test('are settled one by one', () => {
      const list = new CrashedRunList();
      const [first, second] = [1, 2].map(run => ({
        life: 'a@1',
        task: 'j.0.0.0',
        run,
      }));
      list.add([first!, second!]);
      list.settle({...first!, life: 'a@2'});
      list.settle(first!);
      assert.equal(list.all, [second]);
    });
  });
});
