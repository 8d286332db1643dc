import * as assert from 'uvu/assert';
import {ManualClock, OddJsonTexts, describe} from '@chicoryspring/testing';
import {FakeStore} from '../spec/fake_store.js';
import {AuditPages} from './audit_pages.js';
import {AuditTrail} from './audit_trail.js';
import type {AuditEntry} from './audit_entry_types.js';
import type {AuditFilter} from './audit_filter_types.js';

const RING_CAPACITY_RECORDS = 250 * 128;
const BATCH = 200;
const VALUE_LIMIT = 1_000_000;

function entry(actor: string, action: AuditEntry['action']): AuditEntry {
  const object = `Task/${'é'.repeat(1_000)}`;
  const summary = '"'.repeat(1_000);
  return {
    actor,
    action,
    object,
    summary,
    fromRevision: 1,
    outcome: 'accepted',
  };
}

interface FilterCase {
  readonly what: string;
  readonly filter: Partial<AuditFilter>;
  readonly actors: readonly string[];
}

const FILTER_CASES: readonly FilterCase[] = [
  {what: 'nothing', filter: {}, actors: ['c', 'b', 'a']},
  {what: 'an actor', filter: {actor: 'b'}, actors: ['b']},
  {what: 'an action', filter: {action: 'take-out'}, actors: ['c']},
  {what: 'a limit', filter: {limit: 2}, actors: ['c', 'b']},
  {what: 'an outcome', filter: {outcome: 'internal'}, actors: []},
  {what: 'a later time', filter: {since: '2999-01-01'}, actors: []},
];

describe('audit trail', () => {
  describe('reading', test => {
    for (const {what, filter, actors} of FILTER_CASES) {
      test(`filters by ${what}`, async () => {
        const store = new FakeStore();
        const trail = new AuditTrail(store.asStore, new ManualClock());
        await trail.append([entry('a', 'eviction'), entry('b', 'eviction')]);
        await trail.append([entry('c', 'take-out')]);
        const records = await trail.read({limit: 10, ...filter});
        assert.equal(
          records.map(record => record.actor),
          actors,
        );
      });
    }
  });

  describe('with an odd value in the store', test => {
    const isOddPage = ({what}: {readonly what: string}) => what !== 'a list';
    const isOddHead = ({what}: {readonly what: string}) => what !== 'a number';
    const cases = [
      ...OddJsonTexts.whole.filter(isOddPage).map(one => ({
        ...one,
        key: AuditPages.key(0),
      })),
      ...OddJsonTexts.whole.filter(isOddHead).map(one => ({
        ...one,
        key: AuditPages.headKey,
      })),
    ];
    for (const {what, text, key} of cases) {
      test(`names its key, and overwrites nothing: ${key} ${what}`, async () => {
        const store = new FakeStore();
        const trail = new AuditTrail(store.asStore, new ManualClock());
        await trail.append([entry('a', 'eviction')]);
        await store.transact([], [{kind: 'put', key, value: text}]);
        const calls = [
          trail.append([entry('b', 'eviction')]),
          trail.read({limit: 10}),
        ];
        for (const call of await Promise.allSettled(calls)) {
          const failed = call.status === 'rejected' ? call.reason : undefined;
          assert.is(failed?.kind, 'record-unreadable');
          assert.ok(failed.message.includes(key));
        }
        const {values} = await store.readPrefix(key);
        assert.is(values[0]?.value, text);
      });
    }
  });

  describe('ring', test => {
    test('keeps the newest records in values that fit the store', async () => {
      const store = new FakeStore();
      const trail = new AuditTrail(store.asStore, new ManualClock());
      const batch = Array.from({length: BATCH}, () => entry('a', 'eviction'));
      const batches = RING_CAPACITY_RECORDS / BATCH + 2;
      for (let round = 0; round < batches; round += 1) {
        await trail.append(batch);
      }
      const records = await trail.read({limit: 2 * RING_CAPACITY_RECORDS});
      assert.is(records[0]?.sequence, batches * BATCH);
      assert.ok(records.length <= RING_CAPACITY_RECORDS);
      assert.ok(records.length > RING_CAPACITY_RECORDS - 250);
      assert.ok(2 * store.longestValue < VALUE_LIMIT);
    });
  });
});
