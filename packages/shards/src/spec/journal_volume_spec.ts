import * as assert from 'uvu/assert';
import type {StoreOperation} from '@chicoryspring/store';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {ShardFixture} from './shard_fixture.js';
import {jobRecord} from './job_record_fixture.js';

const JOBS = 60;
const SPEC_LENGTH = 2_000;
const CHANGES = 100;
/** What a store with small transactions allows. */
const MAX_JOURNAL_LENGTH = 12;
const STEP_MILLISECONDS = 20;
const TIMEOUT_MILLISECONDS = 10_000;
/** Twice what the shard holds; the changes themselves are small. */
const MAX_WRITTEN_BYTES = 2 * JOBS * (SPEC_LENGTH + 600);

/** A shard with many jobs in progress, and the bytes that were written. */
async function openWithJobs() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock, () => ({
    kind: 'none',
    requestMilliseconds: 0,
    replyMilliseconds: 0,
  }));
  const written: number[] = [];
  const transact = store.transact.bind(store);
  store.transact = (conditions, operations) => {
    written.push(...operations.map(bytesOf));
    return transact(conditions, operations);
  };
  const fixtureOf = (name: string) =>
    new ShardFixture(name, store, clock, 1, MAX_JOURNAL_LENGTH);
  const one = fixtureOf('one');
  const run = async <T>(work: Promise<T>): Promise<T> => {
    let isEnded = false;
    const ended = work.finally(() => (isEnded = true));
    while (!isEnded) await clock.advance(STEP_MILLISECONDS);
    return await ended;
  };
  await run(one.reconcile(['one']));
  const deadline = () => clock.now() + TIMEOUT_MILLISECONDS;
  for (let number = 0; number < JOBS; number += 1) {
    const record = jobRecord(`j${number}`, SPEC_LENGTH);
    await run(one.table.update(record.key, () => record, deadline()));
  }
  return {one, two: fixtureOf('two'), run, deadline, written};
}

function bytesOf(operation: StoreOperation): number {
  return operation.kind === 'put' ? Buffer.byteLength(operation.value) : 0;
}

/** Lets one task after the other of a job be done. */
async function finishTasks(
  opened: Awaited<ReturnType<typeof openWithJobs>>,
): Promise<void> {
  const {one, run, deadline} = opened;
  for (let number = 0; number < CHANGES; number += 1) {
    await run(
      one.table.update(
        'j0',
        current => {
          if (current?.kind !== 'job') return current;
          const done = [...(current.progress.done ?? []), `0.0.${number}`];
          return {...current, progress: {...current.progress, done}};
        },
        deadline(),
      ),
    );
  }
}

describe('volume of the journal of a shard', () => {
  describe('while one of many jobs makes progress', test => {
    test('does not grow with what the callers submitted', async () => {
      const opened = await openWithJobs();
      opened.written.length = 0;
      await finishTasks(opened);
      const sum = opened.written.reduce((all, bytes) => all + bytes, 0);
      assert.ok(sum <= MAX_WRITTEN_BYTES, `${sum} bytes`);
    });

    test('gives the next owner all records and their progress', async () => {
      const opened = await openWithJobs();
      await finishTasks(opened);
      const {one, two, run} = opened;
      one.expireLease();
      await run(two.reconcile(['two']));
      assert.is(two.table.all().length, JOBS);
      const record = two.table.get('j0');
      assert.equal(record, one.table.get('j0'));
      assert.is(
        record?.kind === 'job' && record.progress.done?.length,
        CHANGES,
      );
    });
  });
});
