import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock, type JobRecord} from '@chicoryspring/contracts';
import {OwnedJobDirectory} from '@chicoryspring/entry/jobs/owned_job_directory.js';
import {RunIndex} from '@chicoryspring/entry/jobs/run_index.js';
import {NoOpStateLog} from '@chicoryspring/observability';
import {OwnedJob} from '@chicoryspring/jobs';
import {ShardTable, type ShardRecord} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {scheduledJobRecord} from './scheduled_job_record.js';

const SHARDS = 16;
/** Its end also lets the process end. */
const LEASE_MILLISECONDS = 10_000;
const WRITE_TIMEOUT_MILLISECONDS = 60_000;
const POLL_MILLISECONDS = 1;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const NO_DELAY = {
  kind: 'none',
  requestMilliseconds: 0,
  replyMilliseconds: 0,
} as const;

interface TakeoverFigures {
  readonly jobs: number;
  readonly occurrences: number;
  readonly takeoverMilliseconds: number;
  readonly longestTurnMilliseconds: number;
}

/** Times how a new owner of all shards takes over many scheduled jobs. */
export async function measureTakeover(
  jobs: number,
  occurrences: number,
  openCount: number,
): Promise<TakeoverFigures> {
  const clock = new SystemClock();
  const store = new MemoryStore(clock, () => NO_DELAY);
  const records = Array.from({length: jobs}, (_, number) =>
    currentRecord(scheduledJobRecord(`j${number}`, occurrences, openCount)),
  );
  await writeRecords(store, clock, records);
  const table: ShardTable = new ShardTable(store, clock, {
    ...optionsOf('two'),
    onGained: (all, shard) =>
      directory.addAll(
        shard,
        all.map(one => one.key),
      ),
  });
  const directory = new OwnedJobDirectory({
    table: () => table,
    index: new RunIndex(),
    clock,
    log: new NoOpStateLog(),
    termsOf: () => undefined,
    onLoaded: () => undefined,
  });
  const delays = monitorEventLoopDelay({resolution: POLL_MILLISECONDS});
  await sleep(POLL_MILLISECONDS);
  delays.enable();
  const started = performance.now();
  await acquireAll(store, table, 'two');
  while (directory.all.length < jobs) await sleep(POLL_MILLISECONDS);
  const took = performance.now() - started;
  await sleep(POLL_MILLISECONDS);
  delays.disable();
  return {
    jobs,
    occurrences,
    takeoverMilliseconds: Math.round(took),
    longestTurnMilliseconds: Math.round(
      delays.max / NANOSECONDS_PER_MILLISECOND,
    ),
  };
}

/** The record as this release writes it. */
function currentRecord(record: JobRecord): JobRecord {
  return {...record, progress: new OwnedJob(record, 1).progress};
}

async function writeRecords(
  store: MemoryStore,
  clock: SystemClock,
  records: readonly ShardRecord[],
): Promise<void> {
  const table = new ShardTable(store, clock, optionsOf('one'));
  void table.run();
  await acquireAll(store, table, 'one');
  const deadline = clock.now() + WRITE_TIMEOUT_MILLISECONDS;
  const writes = records.map(one => table.update(one.key, () => one, deadline));
  await Promise.all(writes);
  await table.releaseAll();
  table.stop();
}

function optionsOf(entryName: string) {
  return {
    entryName,
    shardCount: SHARDS,
    onGained: () => undefined,
    onLost: () => undefined,
  };
}

async function acquireAll(
  store: MemoryStore,
  table: ShardTable,
  name: string,
): Promise<void> {
  const {id} = await store.grantLease(LEASE_MILLISECONDS);
  const view = {entries: [name], candidates: [name], owners: new Map()};
  await table.reconcileOwnership(view, id);
}
