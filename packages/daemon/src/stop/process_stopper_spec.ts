import * as assert from 'uvu/assert';
import type {StopSchedule} from '@chicoryspring/contracts';
import type {StateChange, StateLog} from '@chicoryspring/observability';
import {ManualClock, describe} from '@chicoryspring/testing';
import {ProcessStopper} from './process_stopper.js';

const TERMS = {
  graceMilliseconds: 6_000,
  noticeMilliseconds: 2_300,
  holdMilliseconds: 2_850,
};
const STEP_MILLISECONDS = 100;

function createFixture() {
  const clock = new ManualClock();
  const logged: StateChange[] = [];
  const log: StateLog = {change: (_, change) => void logged.push(change)};
  const stopper = new ProcessStopper(TERMS, clock, log);
  const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS)
      await clock.advance(STEP_MILLISECONDS);
  };
  /** Advances until the stopper is done; returns the time that it took. */
  const finish = async (
    started: Promise<(stop: StopSchedule) => Promise<void>>,
  ) => {
    const begun = clock.now();
    let isOver = false;
    void stopper.run(started).then(() => (isOver = true));
    while (!isOver && clock.now() < begun + 60_000)
      await advance(STEP_MILLISECONDS);
    return clock.now() - begun;
  };
  return {stopper, logged, advance, finish};
}

const never = () => new Promise<never>(() => undefined);

describe('process stopper', () => {
  describe('ends before the grace period is over', test => {
    test('although the role never finishes its stop', async () => {
      const {stopper, finish, logged} = createFixture();
      stopper.tell();
      const took = await finish(Promise.resolve(never));
      assert.ok(took < TERMS.graceMilliseconds, `${took}`);
      assert.is(logged.at(-1)?.['isComplete'], false);
    });

    test('although the role never finishes its start', async () => {
      const {stopper, finish} = createFixture();
      stopper.tell();
      assert.ok((await finish(never())) < TERMS.graceMilliseconds);
    });

    test('although it is told to stop again and again', async () => {
      const {stopper, finish, advance} = createFixture();
      stopper.tell();
      await advance(3_000);
      stopper.tell();
      const took = await finish(Promise.resolve(never));
      assert.ok(took < TERMS.graceMilliseconds - 3_000, `${took}`);
    });
  });

  describe('told to stop while the role starts', test => {
    test('stops it once it has started, with what is left', async () => {
      const {stopper, finish, advance, logged} = createFixture();
      let begin: (stopRole: () => Promise<void>) => void = () => undefined;
      const started = new Promise<(stop: StopSchedule) => Promise<void>>(
        resolve => (begin = resolve),
      );
      stopper.tell();
      const ended = finish(started);
      await advance(1_000);
      let stops = 0;
      begin(async () => void (stops += 1));
      await ended;
      assert.is(stops, 1);
      assert.is(logged.at(-1)?.['isComplete'], true);
    });
  });

  describe('whose role fails to stop', test => {
    test('ends all the same and logs the failure', async () => {
      const {stopper, finish, logged} = createFixture();
      stopper.tell();
      await finish(Promise.resolve(() => Promise.reject(new Error('broken'))));
      assert.ok(logged.some(one => one['message'] === 'broken'));
      assert.is(logged.at(-1)?.['isComplete'], false);
    });
  });
});
