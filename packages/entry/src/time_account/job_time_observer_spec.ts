import * as assert from 'uvu/assert';
import {OwnedJob} from '@chicoryspring/jobs';
import {JobValues} from '@chicoryspring/jobs/spec/job_values.js';
import type {Metrics} from '@chicoryspring/observability';
import {describe, ManualClock} from '@chicoryspring/testing';
import {JobObserver} from '../jobs/job_observer.js';
import {JobTimeObserver} from './job_time_observer.js';
import {RunIndex} from '../jobs/run_index.js';

interface LoggedLine {
  readonly event: string;
  readonly fields: object;
}

/** A job of a known state, and what is logged and measured of it. */
function createFixture() {
  const clock = new ManualClock(10_000);
  const lines: LoggedLine[] = [];
  const timings: string[] = [];
  const log = {
    change: (event: string, fields: object) => void lines.push({event, fields}),
  };
  const metrics: Metrics = {
    increment: () => undefined,
    gauge: () => undefined,
    timing: (name, milliseconds, tags = {}) =>
      void timings.push([name, milliseconds, ...Object.values(tags)].join()),
  };
  const observer = new JobTimeObserver(clock, log);
  const ended = (job: OwnedJob) =>
    new JobObserver(clock, log, metrics).ended(job);
  const job = new OwnedJob(JobValues.record({}), 3);
  job.openDueOccurrences(clock.now());
  return {clock, lines, timings, observer, ended, job, index: new RunIndex()};
}

describe('time of a job', () => {
  describe('at its end', test => {
    test('is in the log line and the metric by cause', async () => {
      const {clock, lines, timings, ended, ...rest} = createFixture();
      const {observer, job, index} = rest;
      observer.observe([job], () => true);
      await clock.advance(200);
      index.set(job.tasks[0]!, JobValues.run({pace: 40}));
      observer.observe([job], () => false);
      await clock.advance(1_000);
      index.set(job.tasks[0]!, undefined);
      job.tasks[0]!.isDone = true;
      ended(job);
      assert.is(lines[0]?.event, 'job ended');
      const {fields} = lines[0]!;
      const times = Object.entries(fields).filter(
        ([name, value]) => name.endsWith('Milliseconds') && value !== 0,
      );
      assert.equal(Object.fromEntries(times), {
        sinceAcceptedMilliseconds: 1_200,
        roomMilliseconds: 200,
        paceMilliseconds: 600,
        workMilliseconds: 400,
      });
      assert.ok(timings.includes('entry.job_time_cause,600,pace,false'));
      assert.is(timings.length, 7);
    });
  });

  describe('that cannot be accounted', test => {
    test('is logged once and keeps no other job from its account', () => {
      const {lines, observer, job, clock} = createFixture();
      const broken = new OwnedJob(JobValues.record({}), 3);
      broken.timeAccount.observe = () => {
        throw new Error('broken');
      };
      for (let round = 0; round < 2; round += 1)
        observer.observe([broken, job], () => false);
      assert.equal(
        lines.map(one => one.event),
        ['job time not accounted'],
      );
      assert.is(job.timeAccount.isOutdated(false), false);
      assert.is(job.timeAccount.totals(clock.now() + 5).work, 5);
    });
  });
});
