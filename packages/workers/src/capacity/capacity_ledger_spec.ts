import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import {ResourcesArithmetic} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {CapacityLedger} from './capacity_ledger.js';

const CAPACITY = {processors: 4, memoryMebibytes: 100, accelerators: 1};
const SEED = 20261204;

describe('worker capacity', () => {
  describe('reservation', test => {
    test('accepts a demand that fits and rejects one that does not', () => {
      const ledger = new CapacityLedger(CAPACITY);
      ledger.reserve('a', {...CAPACITY, processors: 3});
      const demand = {...ResourcesArithmetic.none, processors: 2};
      assert.throws(() => ledger.reserve('b', demand), /does not fit/);
    });

    test('rejects a second reservation of the same task', () => {
      const ledger = new CapacityLedger(CAPACITY);
      ledger.reserve('a', ResourcesArithmetic.none);
      assert.throws(() => ledger.reserve('a', ResourcesArithmetic.none));
    });
  });

  describe('any sequence of reservations and releases', test => {
    test('never exceeds the capacity', () => {
      const event = fastCheck.record({
        task: fastCheck.integer({min: 0, max: 9}),
        processors: fastCheck.integer({min: 0, max: 5}),
        release: fastCheck.boolean(),
      });
      const property = fastCheck.property(fastCheck.array(event), events => {
        const ledger = new CapacityLedger(CAPACITY);
        for (const {task, processors, release} of events) {
          if (release) ledger.release(String(task));
          else tryReserve(ledger, String(task), processors);
          if (ledger.free.processors < 0) return false;
        }
        return true;
      });
      fastCheck.assert(property, {seed: SEED, numRuns: 500});
    });
  });
});

function tryReserve(
  ledger: CapacityLedger,
  taskId: string,
  processors: number,
): void {
  try {
    ledger.reserve(taskId, {...ResourcesArithmetic.none, processors});
  } catch {
    // A rejected reservation is a valid outcome.
  }
}
