import * as assert from 'uvu/assert';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ManualClock, describe} from '@chicoryspring/testing';
import {GraceBlockCollector} from './grace_block_collector.js';

const ROUND_MILLISECONDS = 250;
const OWNER = 'owner';

/** Ages of the two ends of a block; undefined while the entry doesn't answer. */
type Answer = readonly [since: number, until: number] | undefined;

/** An entry that waits for one owner and asks others, whose answers may change. */
async function open(...answers: readonly Answer[]) {
  const clock = new ManualClock();
  await clock.advance(100_000);
  const state = {answers, calls: 0, owners: [OWNER]};
  const linkTo = (position: number) => {
    const call = async () => {
      state.calls += 1;
      const answer = state.answers[position];
      if (!answer) throw new ChicoryspringError('link-closed', '');
      const [sinceMilliseconds, untilMilliseconds] = answer;
      return {blocks: [{owner: OWNER, sinceMilliseconds, untilMilliseconds}]};
    };
    return {call} as unknown as Link;
  };
  const stopping = new AbortController();
  const collector = new GraceBlockCollector({
    clock,
    links: () => state.answers.map((_, position) => linkTo(position)),
    owners: () => state.owners,
  });
  void collector.run(stopping.signal);
  await clock.advance(0);
  const pass = () => clock.advance(ROUND_MILLISECONDS);
  return {collector, clock, state, pass, stop: () => stopping.abort()};
}

describe('the grace blocks that an entry collects', () => {
  describe('of one entry', test => {
    test('are on the clock of the asking one, allowing for their rates', async () => {
      const {collector, clock, stop} = await open([5_100, 100]);
      const {since, until} = collector.blockOf(OWNER)!;
      assert.is(Math.round(clock.now() - since), 5_000);
      assert.is(Math.round(clock.now() - until), 102);
      stop();
    });

    test('go on while it answers without a gap', async () => {
      const {collector, state, pass, stop} = await open([5_100, 100]);
      const first = collector.blockOf(OWNER)!;
      state.answers = [[5_100, 50]];
      await pass();
      const second = collector.blockOf(OWNER)!;
      assert.is(second.since, first.since);
      assert.ok(second.until > first.until);
      stop();
    });

    test('begin again after a gap', async () => {
      const {collector, clock, state, pass, stop} = await open([5_100, 100]);
      state.answers = [[102, 10]];
      await pass();
      const {since} = collector.blockOf(OWNER)!;
      assert.is(Math.round(clock.now() - since), 100);
      stop();
    });

    test('grow no longer while it does not answer', async () => {
      const {collector, state, pass, stop} = await open([5_100, 100]);
      const first = collector.blockOf(OWNER);
      state.answers = [undefined];
      await pass();
      assert.equal(collector.blockOf(OWNER), first);
      stop();
    });
  });

  describe('of several entries', test => {
    test('are joined where they overlap', async () => {
      const {collector, clock, stop} = await open([5_100, 1_000], [2_040, 10]);
      const {since, until} = collector.blockOf(OWNER)!;
      assert.is(Math.round(clock.now() - since), 5_000);
      assert.is(Math.round(clock.now() - until), 10);
      stop();
    });
  });

  describe('while no owner is waited for', test => {
    test('are not asked for', async () => {
      const {state, pass, stop} = await open([5_100, 100]);
      state.owners = [];
      const {calls} = state;
      await pass();
      assert.is(state.calls, calls);
      stop();
    });
  });
});
