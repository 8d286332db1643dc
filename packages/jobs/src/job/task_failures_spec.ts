import * as assert from 'uvu/assert';
import type {JobRecord} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {OwnedJob} from './owned_job.js';

const NOW = 10_000;
/** Failures after which an earlier release stopped counting. */
const KEPT_RUNS = 32;

function recordWith(attempts: number): JobRecord {
  const record = JobValues.record({});
  return {...record, terms: {...record.terms, attempts}};
}

function load(record: JobRecord, epoch = 3): OwnedJob {
  const job = new OwnedJob(record, epoch);
  job.openDueOccurrences(NOW);
  return job;
}

/** Fails runs of the only task, each under a new owner; returns the last one. */
function failUnderNewOwners(record: JobRecord, failures: number): OwnedJob {
  let job = load(record);
  for (let run = 1; run <= failures; run += 1) {
    job.tasks[0]!.recordFailedRun(run);
    const {progress} = job;
    job = load({...record, progress: JSON.parse(JSON.stringify(progress))});
  }
  return job;
}

describe('failures of a task', () => {
  for (const attempts of [1, KEPT_RUNS + 1, 10 * KEPT_RUNS]) {
    describe(`of a queue with ${attempts} attempts`, test => {
      test('are counted across owners until no attempt is left', () => {
        const record = recordWith(attempts);
        assert.is(failUnderNewOwners(record, attempts - 1).outcome, 'accepted');
        assert.is(failUnderNewOwners(record, attempts).outcome, 'failed');
      });

      test('are counted by one owner until no attempt is left', () => {
        const job = load(recordWith(attempts));
        for (let run = 1; run <= attempts; run += 1) {
          assert.is(job.outcome, 'accepted');
          job.tasks[0]!.recordFailedRun(run);
        }
        assert.is(job.outcome, 'failed');
      });
    });
  }

  describe('of a queue with the most attempts', test => {
    test('keep the record small', () => {
      const record = recordWith(Number.MAX_SAFE_INTEGER);
      const job = failUnderNewOwners(record, 10 * KEPT_RUNS);
      assert.is(job.outcome, 'accepted');
      assert.is(job.tasks[0]!.failureCount, 10 * KEPT_RUNS);
      assert.is(job.progress.failedRuns['0.0.0']?.length, KEPT_RUNS);
    });
  });

  describe('that are reported again', test => {
    test('count once, the oldest and the newest, also at the next owner', () => {
      const job = failUnderNewOwners(recordWith(99), 2 * KEPT_RUNS);
      const task = job.tasks[0]!;
      for (let run = 1; run <= 2 * KEPT_RUNS; run += 1)
        task.recordFailedRun(run);
      assert.is(task.failureCount, 2 * KEPT_RUNS);
    });
  });

  describe('of a record of an earlier release', test => {
    test('are as many as it lists', () => {
      const record = recordWith(KEPT_RUNS + 1);
      const runs = Array.from({length: KEPT_RUNS}, (_, n) => 100 + n);
      const progress = {...record.progress, failedRuns: {'0.0.0': runs}};
      const job = load({...record, progress});
      // It may have cut off this one.
      job.tasks[0]!.recordFailedRun(99);
      assert.is(job.outcome, 'accepted');
      job.tasks[0]!.recordFailedRun(200);
      assert.is(job.outcome, 'failed');
    });
  });
});
