import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {MessageCounts} from './message_counts.js';
import {MessageMeter} from './message_meter.js';

const MANY_METHODS = 1_000;
const MAX_COUNTS = 202;

describe('counts of messages on links', () => {
  describe('of a call and its answer', test => {
    test('have the answer under the method of the call', () => {
      const counts = new MessageCounts();
      const meter = new MessageMeter(counts);
      meter.count('sent', {id: 1, method: 'run.start'}, 100);
      meter.count('received', {id: 1}, 20);
      assert.equal(counts.take(), [
        {direction: 'sent', method: 'run.start', messages: 1, bytes: 100},
        {
          direction: 'received',
          method: 'run.start answer',
          messages: 1,
          bytes: 20,
        },
      ]);
      assert.equal(counts.take(), []);
    });
  });

  describe('of calls in both directions with the same id', test => {
    test('are not mixed up', () => {
      const counts = new MessageCounts();
      const meter = new MessageMeter(counts);
      meter.count('sent', {id: 1, method: 'one'}, 1);
      meter.count('received', {id: 1, method: 'two'}, 1);
      meter.count('sent', {id: 1}, 1);
      meter.count('received', {id: 1}, 1);
      const names = counts.take().map(one => `${one.direction} ${one.method}`);
      assert.equal(names, [
        'sent one',
        'received two',
        'sent two answer',
        'received one answer',
      ]);
    });
  });

  describe('of methods without end', test => {
    test('are bounded', () => {
      const counts = new MessageCounts();
      for (let number = 0; number < MANY_METHODS; number += 1)
        counts.record('received', `method-${number}`, 1);
      const taken = counts.take();
      assert.ok(taken.length <= MAX_COUNTS);
      const sum = taken.reduce((all, one) => all + one.messages, 0);
      assert.is(sum, MANY_METHODS);
    });
  });
});
