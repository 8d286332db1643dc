import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {JobOccurrences, JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {OwnedTask} from '../job/owned_task.js';
import {OwnedJob} from '../job/owned_job.js';
import type {OwnedRun} from '../run/owned_run_types.js';
import {JobValues} from '../spec/job_values.js';
import type {TimeTotals} from './time_totals_types.js';

const SEED = 7;
/** Changes of a task; most are progress, so that not all tasks are starting. */
const KINDS = ['order', 'work', 'work', 'work', 'stop', 'lose', 'end'] as const;
const ACCEPTED = 10_000;

/** A job at its owner, the clock of which each step moves on. */
class Fixture {
  readonly job: OwnedJob;
  now = ACCEPTED;

  constructor(
    steps: readonly Partial<JobStep>[],
    occurrences?: JobOccurrences,
  ) {
    const record = JobValues.record(...steps);
    const job = {...record.job, ...(occurrences && {occurrences})};
    this.job = new OwnedJob({...record, job}, 3);
    this.job.openDueOccurrences(this.now);
  }

  task(index = 0): OwnedTask {
    return this.job.tasks[index]!;
  }

  set(change: Partial<OwnedRun>, index = 0): void {
    this.task(index).setRun(JobValues.run(change));
  }

  /** Ends the run of a task, as its ending is recorded. */
  end(isDone: boolean, index = 0): void {
    this.task(index).clearRun();
    this.task(index).isDone = isDone;
  }

  /** A placement round, then time without a change. */
  pass(milliseconds: number, hasUnplacedTasks = false): void {
    const {nextDueInstant, timeAccount} = this.job;
    if (timeAccount.isOutdated(hasUnplacedTasks))
      timeAccount.observe(this.now, {hasUnplacedTasks, nextDueInstant});
    this.now += milliseconds;
    this.job.openDueOccurrences(this.now);
  }

  /** The causes that have had time. */
  get spent(): Partial<TimeTotals> {
    const totals = Object.entries(this.job.timeAccount.totals(this.now));
    return Object.fromEntries(totals.filter(([, time]) => time > 0));
  }
}

describe('time account of a job', () => {
  describe('at each instant counts one cause', test => {
    test('of a job that waits, starts and works', () => {
      const fixture = new Fixture([{}]);
      fixture.now += 5;
      fixture.pass(300, true);
      fixture.set({phase: 'starting'});
      fixture.pass(20);
      fixture.set({phase: 'starting', sinceVersion: 4});
      fixture.pass(400);
      fixture.set({});
      fixture.pass(1_000);
      assert.equal(fixture.spent, {room: 300, ordered: 25, work: 1_400});
    });

    test('which is the order while its agent holds it back', () => {
      const fixture = new Fixture([{}]);
      const held = {isListedAsStarting: true, sinceVersion: 4};
      fixture.set({phase: 'starting', ...held});
      fixture.pass(500);
      assert.equal(fixture.spent, {ordered: 500});
    });

    test('which is room if any task waits for it', () => {
      const fixture = new Fixture([{count: 3}]);
      fixture.set({phase: 'starting'});
      fixture.set({pace: 10}, 1);
      fixture.pass(100, true);
      assert.equal(fixture.spent, {room: 100});
    });

    test('split by the mean pace of the working runs', () => {
      const fixture = new Fixture([{count: 3}]);
      fixture.set({pace: 20});
      fixture.set({pace: 100}, 1);
      fixture.set({phase: 'stopping', pace: 0}, 2);
      fixture.pass(1_000);
      assert.equal(fixture.spent, {pace: 400, work: 600});
    });
  });

  describe('counts work as repeated', test => {
    test('until the progress of the earlier run is reached again', () => {
      const fixture = new Fixture([{}]);
      fixture.set({percent: 60});
      fixture.pass(600);
      fixture.end(false);
      fixture.set({run: 2, percent: 30, pace: 50});
      fixture.pass(300);
      fixture.end(false);
      fixture.set({run: 3, percent: 50});
      fixture.pass(100);
      fixture.set({run: 3, percent: 60});
      fixture.pass(400);
      assert.equal(fixture.spent, {repeat: 400, work: 1_000});
    });

    test('not up to its checkpoint, nor of a long-running task', () => {
      const fixture = new Fixture([{}, {isLasting: true}]);
      fixture.set({percent: 60});
      fixture.set({percent: 100}, 1);
      for (const index of [0, 1]) fixture.end(false, index);
      fixture.set({run: 2, percent: 60});
      fixture.set({run: 2}, 1);
      fixture.pass(100);
      assert.equal(fixture.spent, {work: 100});
    });
  });

  describe('counts the last tasks of a step as stragglers', test => {
    const run = (count: number, doneCount: number, change = {}) => {
      const fixture = new Fixture([{count, ...change}]);
      fixture.job.tasks.forEach((_, index) => fixture.set({}, index));
      for (let index = 0; index < doneCount; index += 1)
        fixture.end(true, index);
      fixture.pass(100);
      return fixture;
    };

    test('from nine tenths on', () => {
      assert.equal(run(20, 17).spent, {work: 100});
      assert.equal(run(20, 18).spent, {straggler: 100});
      assert.equal(run(2, 1).spent, {straggler: 100});
      assert.equal(run(1, 0).spent, {work: 100});
    });

    test('unless one of them waits', () => {
      const fixture = run(20, 18);
      fixture.end(false, 19);
      fixture.pass(50);
      assert.equal(fixture.spent, {straggler: 100, work: 50});
    });
  });

  describe('begins', test => {
    test('when an occurrence is due, and pauses until the next', () => {
      const fixture = new Fixture([{}], {
        count: 2,
        firstInstant: ACCEPTED + 1_000,
        intervalMilliseconds: 500,
      });
      fixture.pass(1_010);
      fixture.set({phase: 'starting'});
      fixture.pass(100);
      fixture.end(true);
      fixture.pass(500);
      fixture.pass(50, true);
      assert.equal(fixture.spent, {ordered: 220, room: 50});
      assert.is(fixture.job.summary(fixture.now).accountedSince, 1_000);
    });
  });

  describe('after any changes', test => {
    const change = fc.record({
      index: fc.nat({max: 7}),
      kind: fc.constantFrom(...KINDS),
      percent: fc.nat({max: 100}),
      pace: fc.nat({max: 100}),
      wait: fc.nat({max: 50}),
      hasUnplacedTasks: fc.integer({min: 0, max: 5}).map(one => one === 0),
    });
    type Change = typeof change extends fc.Arbitrary<infer Value> ? Value : 0;

    const apply = (
      fixture: Fixture,
      {index, kind, percent, pace, wait, hasUnplacedTasks}: Change,
    ) => {
      const {run, isDone, lastRunNumber} = fixture.task(index);
      if (kind === 'order' && !run && !isDone)
        fixture.set({run: lastRunNumber + 1, phase: 'starting'}, index);
      if (kind === 'work' && run)
        fixture.set({run: run.run, percent, pace}, index);
      if (kind === 'stop' && run)
        fixture.set({...run, phase: 'stopping'}, index);
      if (run && (kind === 'lose' || kind === 'end'))
        fixture.end(kind === 'end', index);
      fixture.pass(wait, hasUnplacedTasks);
    };

    test('adds up to its time, and to the last run alone at its end', () => {
      const perform = (changes: readonly Change[]) => {
        const fixture = new Fixture([{count: 3}, {count: 5}, {}]);
        for (const one of changes) {
          apply(fixture, one);
          const causes = Object.values(fixture.spent);
          const sum = causes.reduce((all, it) => all + it, 0);
          assert.ok(isNear(sum, fixture.now - ACCEPTED));
        }
        for (let index = 0; index < 8; index += 1) fixture.end(true, index);
        fixture.pass(0);
        const {work: workBefore = 0, pace: paceBefore = 0} = fixture.spent;
        fixture.set({pace: 75}, 8);
        fixture.pass(100);
        const {work = 0, pace = 0} = fixture.spent;
        assert.ok(isNear(work - workBefore, 75));
        assert.ok(isNear(pace - paceBefore, 25));
      };
      const changes = fc.array(change, {maxLength: 200, size: 'max'});
      fc.assert(fc.property(changes, perform), {numRuns: 200, seed: SEED});
    });
  });
});

function isNear(one: number, other: number): boolean {
  return Math.abs(one - other) < 1e-6;
}
