import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {rendezvousOrder} from './rendezvous_order.js';

const WORKERS = Array.from({length: 840}, (_, number) => `worker-${number}`);
const ENTRIES = Array.from({length: 8}, (_, number) => `ws://10.0.0.${number}`);
const MAX_WORKERS_AT_ONE_ENTRY = 140;

function preferredEntryOf(worker: string, entries: readonly string[]): string {
  return rendezvousOrder(worker, entries)[0]!;
}

describe('rendezvous order', () => {
  describe('preferred entry', test => {
    test('is distributed evenly over the entries', () => {
      const counts = new Map<string, number>();
      for (const worker of WORKERS) {
        const preferred = preferredEntryOf(worker, ENTRIES);
        counts.set(preferred, (counts.get(preferred) ?? 0) + 1);
      }
      assert.is(counts.size, ENTRIES.length);
      assert.ok(Math.max(...counts.values()) <= MAX_WORKERS_AT_ONE_ENTRY);
    });

    test('changes only for the workers of a removed entry', () => {
      const [removed, ...others] = ENTRIES;
      for (const worker of WORKERS) {
        const before = preferredEntryOf(worker, ENTRIES);
        if (before === removed) continue;
        assert.is(preferredEntryOf(worker, others), before);
      }
    });

    test('does not depend on the order of the list', () => {
      const reversed = [...ENTRIES].reverse();
      for (const worker of WORKERS) {
        assert.is(
          preferredEntryOf(worker, reversed),
          preferredEntryOf(worker, ENTRIES),
        );
      }
    });
  });
});
