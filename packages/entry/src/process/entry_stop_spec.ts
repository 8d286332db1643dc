import * as assert from 'uvu/assert';
import {planStop} from '@chicoryspring/contracts';
import type {StateChange} from '@chicoryspring/observability';
import {NoOpMetrics} from '@chicoryspring/observability';
import {ManualClock, describe} from '@chicoryspring/testing';
import {EntryStop} from './entry_stop.js';

const TERMS = {
  graceMilliseconds: 6_000,
  noticeMilliseconds: 2_300,
  holdMilliseconds: 2_850,
};
const STEP_MILLISECONDS = 50;
const PARTS = ['claims', 'leave', 'registry', 'finish'] as const;

type Part = (typeof PARTS)[number];

/** Stops an entry some of whose parts never end; returns the time it takes. */
async function stopWith(stuck: readonly Part[], usesAgentLinks = false) {
  const clock = new ManualClock();
  const stop = planStop(clock.now(), TERMS);
  const logged: StateChange[] = [];
  const end = (part: Part) => async () => {
    if (stuck.includes(part)) await new Promise(() => undefined);
  };
  const stateLog = {
    change: (_: string, change: StateChange) => void logged.push(change),
  };
  const entryStop = new EntryStop(
    {
      clock,
      claims: {drain: end('claims')},
      membership: {leave: end('leave')},
      table: {ownedShards: []},
      registry: {drained: end('registry')},
      observer: {
        finish: end('finish'),
        telemetry: {metrics: new NoOpMetrics(), stateLog},
      },
      servers: [],
      usesAgentLinks,
    },
    stop,
  );
  let isOver = false;
  void entryStop.run().then(() => (isOver = true));
  while (!isOver && clock.now() < stop.begun + 60_000)
    await clock.advance(STEP_MILLISECONDS);
  return {took: clock.now() - stop.begun, logged};
}

describe('stop of an entry', () => {
  describe('one of whose parts never ends', test => {
    for (const stuck of [...PARTS.map(one => [one]), PARTS]) {
      test(`ends before the grace period is over: ${stuck.join()}`, async () => {
        for (const usesAgentLinks of [false, true]) {
          const {took} = await stopWith(stuck, usesAgentLinks);
          assert.ok(took < TERMS.graceMilliseconds, `${took} ms`);
        }
      });
    }
  });

  describe('all of whose parts end', test => {
    test('ends at once and logs each step with the time left', async () => {
      const {took, logged} = await stopWith([]);
      assert.ok(took <= STEP_MILLISECONDS);
      assert.equal(
        logged.map(({step}) => step),
        [
          'claims recorded',
          'shards handed over',
          'forwarded operations ended',
          'audit trail written',
        ],
      );
      assert.ok(logged.every(one => Number(one['leftMilliseconds']) > 0));
    });
  });
});
