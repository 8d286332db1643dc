import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import {describe} from '@chicoryspring/testing';
import {FairQueue} from './fair_queue.js';

const SEED = 20261204;
const MAX_SIZE = 4;

interface Item {
  readonly caller: string;
  readonly number: number;
}

function queueOf(callers: string): {
  readonly queue: FairQueue<Item>;
  readonly shed: string;
} {
  const queue = new FairQueue<Item>(MAX_SIZE);
  const shed = [...callers].map(
    (caller, number) => queue.add({caller, number})?.number,
  );
  return {queue, shed: shed.filter(one => one !== undefined).join('')};
}

describe('fair queue', () => {
  describe('order', test => {
    const CASES = [
      {added: 'ab', taken: '01'},
      {added: 'aaab', taken: '0312'},
      {added: 'aabb', taken: '0213'},
    ];
    for (const {added, taken} of CASES) {
      test(`of ${added} is ${taken}`, () => {
        const {queue} = queueOf(added);
        const order = [...added].map(() => queue.take()!.number).join('');
        assert.is(order, taken);
        assert.is(queue.take(), undefined);
      });
    }
  });

  describe('full queue', test => {
    const CASES = [
      {added: 'aaaaa', shed: '4'},
      {added: 'aaaab', shed: '3'},
      {added: 'abbbcbb', shed: '356'},
    ];
    for (const {added, shed} of CASES) {
      test(`sheds ${shed} of ${added}`, () => {
        assert.is(queueOf(added).shed, shed);
      });
    }

    test('never sheds a caller within its fair share', () => {
      const callers = fastCheck.array(fastCheck.constantFrom('a', 'b'), {
        maxLength: 40,
      });
      fastCheck.assert(
        fastCheck.property(callers, added => {
          const {queue} = queueOf(added.join(''));
          const quiet = {caller: 'c', number: -1};
          return queue.add(quiet) !== quiet && queue.size <= MAX_SIZE;
        }),
        {seed: SEED},
      );
    });
  });

  describe('removed item', test => {
    test('is not returned', () => {
      const queue = new FairQueue<Item>(MAX_SIZE);
      const item = {caller: 'a', number: 0};
      queue.add(item);
      queue.remove(item);
      queue.remove(item);
      assert.is(queue.size, 0);
      assert.is(queue.take(), undefined);
    });
  });
});
