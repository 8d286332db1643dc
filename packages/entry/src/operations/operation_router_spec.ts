import * as assert from 'uvu/assert';
import * as v from 'valibot';
import {
  ChicoryspringError,
  toChicoryspringError,
  type ErrorKind,
} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {OperationRouter} from './operation_router.js';
import type {Operation} from './operation_types.js';

const STEP_MILLISECONDS = 50;

const SAY: Operation<string, string> = {
  name: 'say',
  input: v.string(),
  result: v.string(),
  key: input => input,
  isIdempotent: true,
  answerMilliseconds: 1_500,
};

/** Answer of another entry: its own name, or an error of the kind. */
type Peers = Readonly<Record<string, 'answers' | ErrorKind>>;

interface Situation {
  readonly owns?: boolean;
  readonly mayActOnShards?: boolean;
  readonly owner?: string;
  readonly hasContact?: boolean;
  readonly peers?: Peers;
}

function createFixture(situation: Situation) {
  const clock = new ManualClock();
  const calls: string[] = [];
  const {
    owns = false,
    mayActOnShards: mayActOnShards = true,
    owner,
    peers = {},
  } = situation;
  const ask = async (how: string, entry: string) => {
    calls.push(`${how} ${entry}`);
    const answer = peers[entry] ?? 'peer-unreachable';
    if (answer === 'answers') return entry;
    throw new ChicoryspringError(answer, 'refused');
  };
  const router = new OperationRouter(
    {owns: () => owns, shardOf: () => 1},
    {
      ownerOf: () => owner,
      contactMilliseconds: (situation.hasContact ?? true) ? 1_000 : 0,
    },
    {
      responsiveEntries: Object.keys(peers),
      forward: entry => ask('forward', entry),
      relay: entry => ask('relay', entry),
    },
    clock,
    () => mayActOnShards,
  );
  router.serve(SAY, async () => 'here');
  const run = async (milliseconds = 50) => {
    const deadline = clock.now() + milliseconds;
    const answer = router.run(SAY, 'x', deadline).catch(toKind);
    for (let passed = 0; passed <= milliseconds; passed += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
    }
    return await answer;
  };
  const relayed = () => router.runRelayed('say', 'x', 0).catch(toKind);
  return {run, relayed, calls};
}

function toKind(thrown: unknown): string {
  return toChicoryspringError(thrown).kind;
}

const OWNER = {owns: true, owner: 'self'};
const CUT = {hasContact: false};

/** Situation of the entry, its answer, and the calls that it made. */
const CASES: readonly (readonly [
  string,
  Situation,
  string,
  readonly string[],
])[] = [
  ['that owns the record runs it', OWNER, 'here', []],
  [
    'in contact forwards it to the owner',
    {owner: 'b', peers: {a: 'answers', b: 'answers'}},
    'b',
    ['forward b'],
  ],
  [
    'whose lease expired without contact has another entry relay it',
    {...OWNER, ...CUT, mayActOnShards: false, peers: {a: 'answers'}},
    'a',
    ['relay a'],
  ],
  [
    'without contact skips entries without contact',
    {...CUT, owner: 'b', peers: {a: 'store-unavailable', b: 'answers'}},
    'b',
    ['relay a', 'relay b'],
  ],
  [
    'without contact reports it when no other entry has contact',
    {...CUT, peers: {a: 'store-unavailable', b: 'store-unavailable'}},
    'store-unavailable',
    ['relay a', 'relay b'],
  ],
  [
    'that is partitioned from everything fails at once',
    {...OWNER, ...CUT, mayActOnShards: false},
    'entry-cut-off',
    [],
  ],
  [
    'never relays again what may have run',
    {...CUT, peers: {a: 'outcome-unknown', b: 'answers'}},
    'outcome-unknown',
    ['relay a'],
  ],
];

describe('operation router', () => {
  describe('an entry', test => {
    for (const [what, situation, answer, calls] of CASES) {
      test(what, async () => {
        const fixture = createFixture(situation);
        assert.is(await fixture.run(), answer);
        assert.equal(fixture.calls, calls);
      });
    }

    test('retries for a short time when no entry reaches the store', async () => {
      const {run, calls} = createFixture({
        ...CUT,
        peers: {a: 'store-unavailable'},
      });
      assert.is(await run(2_800), 'store-unavailable');
      assert.ok(calls.length > 3 && calls.length < 14, String(calls.length));
    });

    test('retries while another entry reports that there is no owner', async () => {
      const {run, calls} = createFixture({...CUT, peers: {a: 'shard-unowned'}});
      assert.is(await run(300), 'shard-unowned');
      assert.ok(calls.length > 1);
    });
  });

  describe('an entry that is asked to relay', test => {
    test('forwards to the owner that it knows', async () => {
      const {relayed, calls} = createFixture({
        owner: 'b',
        peers: {b: 'answers'},
      });
      assert.is(await relayed(), 'b');
      assert.equal(calls, ['forward b']);
    });

    test('fails without a call while it has no contact either', async () => {
      const {relayed, calls} = createFixture({...CUT, peers: {b: 'answers'}});
      assert.is(await relayed(), 'store-unavailable');
      assert.equal(calls, []);
    });
  });
});
