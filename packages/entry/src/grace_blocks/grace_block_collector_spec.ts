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
  const blocks = () => collector.blocksOf(OWNER);
  return {blocks, clock, state, pass, stop: () => stopping.abort()};
}

describe('the grace blocks that an entry collects', () => {
  describe('of one entry', test => {
    test('are on the clock of the asking one, allowing for their rates', async () => {
      const {blocks, clock, stop} = await open([5_100, 100]);
      const {since, until} = blocks()[0]!;
      assert.is(Math.round(clock.now() - since), 5_000);
      assert.is(Math.round(clock.now() - until), 102);
      stop();
    });

    // It denied contact while the asking one was suspended, whose clock stood still.
    test('are those of its last answer, which hides no denial', async () => {
      const {blocks, clock, state, pass, stop} = await open([5_100, 10]);
      state.answers = [[306, 10]];
      await pass();
      assert.is(blocks().length, 1);
      assert.is(Math.round(clock.now() - blocks()[0]!.since), 300);
      stop();
    });

    test('stay as they are while it does not answer', async () => {
      const {blocks, state, pass, stop} = await open([5_100, 100]);
      const first = blocks();
      state.answers = [undefined];
      await pass();
      assert.equal(blocks(), first);
      stop();
    });
  });

  describe('of several entries', test => {
    test('are one for each', async () => {
      const {blocks, stop} = await open([5_100, 1_000], [2_040, 10]);
      assert.is(blocks().length, 2);
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
