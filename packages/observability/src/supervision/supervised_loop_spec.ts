import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {superviseLoop} from './supervised_loop.js';

const RESTART_MILLISECONDS = 200;

/** A loop that fails as often as given, and what was logged meanwhile. */
async function open(failures: number) {
  const clock = new ManualClock();
  const stopping = new AbortController();
  const events: string[] = [];
  const log = {change: (event: string) => void events.push(event)};
  let starts = 0;
  const loop = async () => {
    starts += 1;
    if (starts <= failures) throw new TypeError('unexpected');
  };
  const {signal} = stopping;
  const ended = superviseLoop('loop', loop, {clock, log, signal});
  await clock.advance(0);
  return {clock, stopping, events, ended, starts: () => starts};
}

describe('supervised loop', () => {
  describe('that fails', test => {
    test('starts again, and each failure is logged', async () => {
      const {clock, events, ended, starts} = await open(2);
      await clock.advance(RESTART_MILLISECONDS);
      await clock.advance(RESTART_MILLISECONDS);
      await ended;
      assert.is(starts(), 3);
      assert.equal(events, [
        'background loop failed',
        'background loop failed',
      ]);
    });

    test('does not start again once the process stops', async () => {
      const {clock, stopping, ended, starts} = await open(Infinity);
      stopping.abort();
      await clock.advance(RESTART_MILLISECONDS);
      await ended;
      assert.is(starts(), 1);
    });
  });

  describe('that ends', test => {
    test('is not started again', async () => {
      const {clock, events, ended, starts} = await open(0);
      await ended;
      await clock.advance(RESTART_MILLISECONDS);
      assert.is(starts(), 1);
      assert.equal(events, []);
    });
  });
});
