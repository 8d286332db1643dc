import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {orderFromHome} from './home_order.js';

const WORKERS = Array.from({length: 840}, (_, number) => `worker-${number}`);
const ENTRIES = Array.from({length: 8}, (_, number) => `ws://10.0.0.${number}`);
const MOST_AT_ONE_ENTRY = 140;

function homeOf(worker: string, entries: readonly string[]): string {
  return orderFromHome(worker, entries)[0]!;
}

describe('entry peers', () => {
  describe('home entry', test => {
    test('is spread over the entries', () => {
      const counts = new Map<string, number>();
      for (const worker of WORKERS) {
        const home = homeOf(worker, ENTRIES);
        counts.set(home, (counts.get(home) ?? 0) + 1);
      }
      assert.is(counts.size, ENTRIES.length);
      assert.ok(Math.max(...counts.values()) <= MOST_AT_ONE_ENTRY);
    });

    test('moves only for the workers of an entry that went', () => {
      const [gone, ...others] = ENTRIES;
      for (const worker of WORKERS) {
        const before = homeOf(worker, ENTRIES);
        if (before === gone) continue;
        assert.is(homeOf(worker, others), before);
      }
    });

    test('does not depend on the order of the list', () => {
      const reversed = [...ENTRIES].reverse();
      for (const worker of WORKERS) {
        assert.is(homeOf(worker, reversed), homeOf(worker, ENTRIES));
      }
    });
  });
});
