import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, OddJsonTexts, describe} from '@chicoryspring/testing';
import {ShardTable} from '../ownership/shard_table.js';
import {ShardKeys} from './shard_keys.js';

const LEASE_MILLISECONDS = 60_000;
const VALID = {commitId: 'c', sequence: 1, records: [], dropped: []};

const ODD_VALUES = [
  ...OddJsonTexts.whole,
  ...OddJsonTexts.missing(VALID, ['sequence', 'records', 'dropped']),
  ...OddJsonTexts.numbers(VALID, ['sequence']),
  ...OddJsonTexts.with(VALID, 'records', [
    {what: 'with a number', text: '[5]'},
    {what: 'with lists', text: '[[[]]]'},
  ]),
];
const KEYS = [
  {kind: 'snapshot', key: ShardKeys.snapshot(0)},
  {kind: 'journal entry', key: ShardKeys.journal(0, 1)},
];

/** An entry that reconciles its ownership of two shards. */
async function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const table = new ShardTable(store, clock, {
    entryName: 'one',
    shardCount: 2,
    onGained: () => undefined,
    onLost: () => undefined,
  });
  const {id} = await store.grantLease(LEASE_MILLISECONDS);
  const view = {entries: ['one'], candidates: ['one'], owners: new Map()};
  const reconcile = async () =>
    await table.reconcileOwnership(view, id).then(
      () => undefined,
      thrown => toChicoryspringError(thrown),
    );
  return {store, table, reconcile};
}

describe('a value of a shard that can not be read', () => {
  for (const {kind, key} of KEYS) {
    describe(`as a ${kind}`, test => {
      for (const {what, text} of ODD_VALUES) {
        test(`keeps only its shard from being owned: ${what}`, async () => {
          const {store, table, reconcile} = await createFixture();
          await store.transact([], [{kind: 'put', key, value: text}]);
          const failure = await reconcile();
          assert.equal(table.ownedShards, [1]);
          assert.is(failure?.kind, 'record-unreadable');
          assert.ok(failure?.message.includes(key), 'names the key');
          await store.transact([], [{kind: 'delete', key}]);
          assert.is(await reconcile(), undefined);
          assert.equal(table.ownedShards, [1, 0]);
        });
      }
    });
  }
});
