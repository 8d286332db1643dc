import * as assert from 'uvu/assert';
import {jobRecordSchema} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import * as v from 'valibot';
import {JobValues} from '../spec/job_values.js';
import {OwnedJob} from './owned_job.js';

const EPOCH = 3;
const NOW = 20_000;
const TASK = 'j.0.0.0';

/** A job with tasks of one step, as its owner has it. */
function open(record = JobValues.record({count: 2, isLasting: true})) {
  const job = new OwnedJob(record, EPOCH);
  job.openDueOccurrences(NOW);
  return {job, task: job.task(TASK)!, record};
}

describe('crashes of a task', () => {
  describe('the first', test => {
    test('keep it from starting until they are durable', () => {
      const {job, task} = open();
      task.crashes.record(3_001);
      assert.not.ok(task.isDue(NOW));
      task.crashes.markDurable();
      assert.ok(task.isDue(NOW));
      assert.is(job.outcome, 'accepted');
    });

    test('make it a suspect for the next owner too', () => {
      const {job, task, record} = open();
      task.crashes.record(3_001);
      const next = open({...record, progress: job.progress});
      assert.ok(next.task.crashes.isSuspect);
      assert.ok(next.task.isDue(NOW));
      assert.not.ok(next.job.task('j.0.0.1')!.crashes.isSuspect);
    });
  });

  describe('the second', test => {
    test('end the job as failed, also at the next owner', () => {
      const {job, task, record} = open();
      for (const run of [3_001, 3_002]) task.crashes.record(run);
      assert.is(job.outcome, 'failed');
      const next = open({...record, progress: job.progress});
      assert.is(next.job.outcome, 'failed');
    });

    test('change nothing once the task is done', () => {
      const {job, task} = open(JobValues.record({}));
      for (const run of [3_001, 3_002]) task.crashes.record(run);
      task.isDone = true;
      assert.is(job.outcome, 'complete');
    });
  });

  describe('followed by a run that its worker survives', test => {
    test('are past, also for the record', () => {
      const {job, task, record} = open();
      task.crashes.record(3_001);
      task.crashes.markDurable();
      task.crashes.recordSurvival(3_002);
      assert.not.ok(task.crashes.isSuspect);
      assert.equal(job.progress, record.progress);
      task.crashes.record(3_003);
      assert.is(job.outcome, 'accepted');
    });

    test('are not recorded once they are reported late', () => {
      const {task} = open();
      task.crashes.recordSurvival(3_002);
      assert.ok(task.crashes.isKnown(3_001));
      assert.not.ok(task.crashes.isKnown(3_003));
    });

    test('count if they are later than that run', () => {
      const {job, task} = open();
      for (const run of [3_002, 3_003]) task.crashes.record(run);
      task.crashes.recordSurvival(3_001);
      assert.is(job.outcome, 'failed');
    });
  });

  describe('that are late', test => {
    const openWithLateCrashes = (count: number) => {
      const opened = open();
      for (let run = 1; run <= count; run += 1)
        opened.task.crashes.recordLate(EPOCH * 1_000 + run);
      return opened;
    };

    test('make a suspect of the task if there are three in a row', () => {
      assert.not.ok(openWithLateCrashes(2).task.crashes.isSuspect);
      const {job, task} = openWithLateCrashes(3);
      assert.ok(task.crashes.isLateSuspect);
      assert.not.ok(task.isDue(NOW));
      task.crashes.markDurable();
      assert.ok(task.isDue(NOW));
      assert.is(job.outcome, 'accepted');
    });

    test('are known to the next owner', () => {
      const {job, record} = openWithLateCrashes(3);
      const written = {...record, progress: job.progress};
      assert.equal(v.parse(jobRecordSchema, written), written);
      const next = open(written);
      assert.ok(next.task.crashes.isLateSuspect);
      assert.ok(next.task.isDue(NOW));
    });

    test('are past once a run ends otherwise', () => {
      const {task} = openWithLateCrashes(2);
      task.crashes.clearLate();
      task.crashes.recordLate(3_004);
      assert.not.ok(task.crashes.isSuspect);
    });

    test('are past only after a long probation', () => {
      const {task} = openWithLateCrashes(2);
      task.crashes.recordSurvival(3_003);
      task.crashes.recordLate(3_003);
      assert.ok(task.crashes.isLateSuspect);
      task.crashes.recordSurvival(3_004);
      assert.not.ok(task.crashes.isSuspect);
    });
  });

  describe('in the record', test => {
    test('are kept by its schema', () => {
      const {job, task, record} = open();
      task.crashes.record(3_001);
      const written = {...record, progress: job.progress};
      assert.equal(v.parse(jobRecordSchema, written), written);
    });

    test('are absent from one of an earlier release', () => {
      const {job, record} = open();
      assert.equal(v.parse(jobRecordSchema, record), record);
      assert.equal(job.progress, record.progress);
    });
  });
});
