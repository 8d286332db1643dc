import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {OwnedJob} from './owned_job.js';

const NOW = 10_000;

function open(...steps: readonly Partial<JobStep>[]) {
  const job = new OwnedJob(JobValues.record(...steps), 3);
  job.openDueOccurrences(NOW);
  const due = () => job.dueGroups(NOW).map(group => group.map(one => one.name));
  return {job, due};
}

describe('owned job', () => {
  describe('tasks', test => {
    test('of a step wait for the steps before it', () => {
      const {job, due} = open({count: 2}, {after: [0]});
      assert.equal(due(), [['j.0.0.0'], ['j.0.0.1']]);
      for (const task of job.tasks)
        task.isDone = task.position.stepNumber === 0;
      assert.equal(due(), [['j.0.1.0']]);
    });

    test('of a gang are due together or not at all', () => {
      const {job, due} = open({count: 2, isGang: true});
      assert.equal(due(), [['j.0.0.0', 'j.0.0.1']]);
      job.tasks[0]!.notBefore = NOW + 1;
      assert.equal(due(), []);
    });

    test('have run numbers above those of previous owners', () => {
      const {job} = open({});
      const later = new OwnedJob(JobValues.record({}), 4);
      later.openDueOccurrences(NOW);
      assert.ok(later.tasks[0]!.lastRunNumber > job.tasks[0]!.lastRunNumber);
    });

    test('of later occurrences open when they are due', () => {
      const occurrences = {
        count: 3,
        firstInstant: NOW,
        intervalMilliseconds: 100,
      };
      const record = JobValues.record({});
      const job = new OwnedJob(
        {...record, job: {...record.job, occurrences}},
        1,
      );
      job.openDueOccurrences(NOW - 1);
      assert.is(job.tasks.length, 0);
      job.openDueOccurrences(NOW + 150);
      assert.equal(
        job.tasks.map(one => one.name),
        ['j.0.0.0', 'j.1.0.0'],
      );
      assert.is(job.outcome, 'accepted');
      assert.is(job.nextDueInstant, NOW + 200);
    });
  });

  describe('outcome', test => {
    test('is complete once every task is done', () => {
      const {job} = open({count: 2});
      job.tasks[0]!.isDone = true;
      assert.is(job.outcome, 'accepted');
      job.tasks[1]!.isDone = true;
      assert.is(job.outcome, 'complete');
    });

    test('is failed once a task has failed its attempts', () => {
      const {job} = open({count: 2});
      job.tasks[0]!.recordFailedRun(3_001);
      assert.is(job.outcome, 'accepted');
      job.tasks[0]!.recordFailedRun(3_002);
      assert.is(job.outcome, 'failed');
    });

    test('counts a failed run once however often it is reported', () => {
      const {job} = open({count: 2});
      for (let time = 0; time < 3; time += 1)
        job.tasks[0]!.recordFailedRun(3_001);
      assert.is(job.outcome, 'accepted');
    });

    test('of a long-running task is never failed', () => {
      const {job} = open({isLasting: true});
      for (let run = 0; run < 99; run += 1) job.tasks[0]!.recordFailedRun(run);
      assert.is(job.outcome, 'accepted');
    });
  });

  describe('progress', test => {
    test('is continued by the next owner', () => {
      const {job} = open({count: 3});
      job.tasks[0]!.isDone = true;
      job.tasks[1]!.recordFailedRun(3_001);
      job.tasks[2]!.recordCheckpoint('c', 3_001);
      const {progress} = job;
      const next = new OwnedJob({...job.record, progress}, 4);
      next.openDueOccurrences(NOW);
      assert.equal(next.progress, progress);
      assert.is(next.tasks[0]!.isDone, true);
    });
  });

  describe('progress of an occurrence that is not due on this clock', test => {
    const occurrences = {
      count: 3,
      firstInstant: NOW,
      intervalMilliseconds: 100,
    };
    const record = JobValues.record({count: 2});
    const recordWithOccurrences = {
      ...record,
      job: {...record.job, occurrences},
      progress: {
        done: ['0.0.0', '1.0.0'],
        failedRuns: {'1.0.1': [3_001]},
        checkpoints: {'1.0.1': 'c'},
      },
    };
    const load = () => {
      const job = new OwnedJob(recordWithOccurrences, 4);
      job.openDueOccurrences(NOW);
      return job;
    };

    test('is written again by an owner whose clock is behind', () => {
      assert.equal(load().progress, recordWithOccurrences.progress);
    });

    test('makes none of its tasks due before their time', () => {
      const job = load();
      const due = (now: number) =>
        job.dueGroups(now).map(group => group.map(one => one.name));
      assert.equal(due(NOW + 99), [['j.0.0.1']]);
      assert.equal(due(NOW + 100), [['j.0.0.1'], ['j.1.0.1']]);
    });

    test('leaves the occurrences after it to open when they are due', () => {
      const job = load();
      assert.is(job.nextDueInstant, NOW + 200);
      job.openDueOccurrences(NOW + 200);
      assert.is(job.tasks.length, 6);
    });
  });

  describe('a reported task', test => {
    test('is known in any occurrence of the job, and in no other', () => {
      const occurrences = {
        count: 2,
        firstInstant: NOW,
        intervalMilliseconds: 100,
      };
      const record = JobValues.record({});
      const job = new OwnedJob(
        {...record, job: {...record.job, occurrences}},
        1,
      );
      assert.is(job.reportedTask('j.1.0.0')?.name, 'j.1.0.0');
      const unknown = ['j.2.0.0', 'j.-1.0.0', 'j.x.0.0', 'j.0.1.0', 'j.0.0.1'];
      for (const name of unknown) assert.is(job.reportedTask(name), undefined);
      assert.equal(job.dueGroups(NOW - 1), []);
      assert.is(job.outcome, 'accepted');
    });
  });

  describe('objective', test => {
    test('is out of reach once the remaining steps take too long', () => {
      const {job} = open({}, {after: [0]});
      assert.is(job.isLate(NOW + 2_400), false);
      assert.is(job.isLate(NOW + 2_600), true);
      job.tasks[0]!.isDone = true;
      assert.is(job.isLate(NOW + 2_600), false);
    });

    test('is never out of reach of a job with tasks that last', () => {
      const {job} = open({isLasting: true});
      assert.is(job.isLate(NOW + 60_000), false);
    });
  });
});
