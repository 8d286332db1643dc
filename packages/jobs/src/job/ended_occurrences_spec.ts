import * as assert from 'uvu/assert';
import type {JobProgress} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {OwnedJob} from './owned_job.js';

const NOW = 10_000;
const COUNT = 10_000;
const OPEN_COUNT = 10;
const MAX_RECORD_BYTES = 16 * 1_024;
const MAX_SPEC_LENGTH = 4_000;

/** A job of which each occurrence is due. */
function recordOf(progress: JobProgress, count = COUNT) {
  const record = JobValues.record({count: 2});
  const occurrences = {count, firstInstant: 0, intervalMilliseconds: 1};
  const spec = 's'.repeat(MAX_SPEC_LENGTH);
  return {...record, job: {...record.job, spec, occurrences}, progress};
}

function load(record: ReturnType<typeof recordOf>) {
  const job = new OwnedJob(record, 3);
  job.openDueOccurrences(NOW);
  return job;
}

/** The tasks that are done, by name, as earlier releases list them. */
function doneNames(isEnded: (occurrence: number) => boolean) {
  const all = Array.from({length: COUNT}, (_, occurrence) => occurrence);
  return all.filter(isEnded).flatMap(one => [`${one}.0.0`, `${one}.0.1`]);
}

const NAMES_OF_ENDED = doneNames(one => one >= OPEN_COUNT);
const OLD_PROGRESS = {done: NAMES_OF_ENDED, failedRuns: {}, checkpoints: {}};

describe('ended occurrences', () => {
  describe('of a record of an earlier release', test => {
    test('get no tasks again, however many they are', () => {
      const job = load(recordOf(OLD_PROGRESS));
      assert.is(job.tasks.length, 2 * OPEN_COUNT);
      assert.is(job.dueGroups(NOW).length, 2 * OPEN_COUNT);
      assert.is(job.nextDueInstant, undefined);
    });

    test('are those of which each task is done', () => {
      const done = NAMES_OF_ENDED.filter(name => name !== '500.0.1');
      const job = load(recordOf({...OLD_PROGRESS, done}));
      assert.is(job.tasks.length, 2 * OPEN_COUNT + 2);
      assert.is(job.task('j.500.0.0')?.isDone, true);
      assert.is(job.task('j.500.0.1')?.isDone, false);
    });
  });

  describe('of which many are behind a few open ones', test => {
    test('leave the record small, and the next owner as few tasks', () => {
      const job = load(recordOf(OLD_PROGRESS));
      job.tasks[1]!.isDone = true;
      job.tasks[2]!.recordCheckpoint('c', 3_001);
      const record = {...job.record, progress: job.progress};
      const bytes = Buffer.byteLength(JSON.stringify(record));
      assert.ok(bytes < MAX_RECORD_BYTES, `${bytes} bytes`);
      const next = load(record as ReturnType<typeof recordOf>);
      assert.is(next.tasks.length, 2 * OPEN_COUNT);
      assert.equal(next.progress, job.progress);
      assert.is(next.task('j.0.0.1')?.isDone, true);
      assert.is(next.task('j.1.0.0')?.checkpoint, 'c');
    });
  });
});
