import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {GraceBlock} from '../grace_blocks/grace_block_types.js';
import {EarlierOwners} from './earlier_owners.js';

const REGISTERED_AT = 10_000;
const GAINED_AT = 20_000;
const INTRODUCED_AT = 23_000;
/** The lease that may count for longer, and the grace period after it. */
const UNKNOWN_MILLISECONDS = 62_000;
const LONG_MILLISECONDS = 70_000;
/** Time for which a run goes on without a proof. */
const RUN_MILLISECONDS = 9_020;
const LATE_BLOCK_AT = 26_000;
/** Spans in which owners that don't know the new one had no proof. */
const LONG_BLOCK = {since: 0, until: GAINED_AT + RUN_MILLISECONDS};
const LATE_BLOCK = {
  since: LATE_BLOCK_AT,
  until: LATE_BLOCK_AT + RUN_MILLISECONDS,
};
const BRIEF_BLOCK = {since: 0, until: GAINED_AT + RUN_MILLISECONDS - 1};
const BLOCKS: Readonly<Record<string, readonly GraceBlock[]>> = {
  blocked: [LONG_BLOCK],
  'blocked later': [LATE_BLOCK],
  'blocked too briefly': [BRIEF_BLOCK],
  'blocked by two': [BRIEF_BLOCK, LATE_BLOCK],
};

/** An entry that `known` knew before its gain, and `late` since a later instant. */
function open(registration = 'current') {
  const instants: Readonly<Record<string, number>> = {
    known: REGISTERED_AT,
    late: INTRODUCED_AT,
  };
  return new EarlierOwners({
    entryName: 'own',
    registration: () => ({id: registration, registeredAt: REGISTERED_AT}),
    introducedAt: (entry, id) =>
      id === 'current' ? instants[entry] : undefined,
    graceBlocksOf: entry => BLOCKS[entry] ?? [],
  });
}

const CASES = [
  {owners: ['own'], latest: GAINED_AT},
  {owners: ['known'], latest: GAINED_AT},
  {owners: ['late'], latest: INTRODUCED_AT},
  {owners: ['unknown'], latest: GAINED_AT + UNKNOWN_MILLISECONDS},
  {owners: ['known', 'late'], latest: INTRODUCED_AT},
  {owners: ['known', 'unknown'], latest: GAINED_AT + UNKNOWN_MILLISECONDS},
  {owners: [], latest: GAINED_AT + UNKNOWN_MILLISECONDS},
  {owners: ['blocked'], latest: GAINED_AT},
  {owners: ['blocked later'], latest: LATE_BLOCK_AT},
  {
    owners: ['blocked too briefly'],
    latest: GAINED_AT + UNKNOWN_MILLISECONDS,
  },
  {owners: ['blocked by two'], latest: LATE_BLOCK_AT},
  // A run that the later one renewed goes on after the block of the other one.
  {
    owners: ['blocked', 'blocked later'],
    latest: GAINED_AT + UNKNOWN_MILLISECONDS,
  },
  {
    owners: ['blocked later', 'unknown'],
    latest: GAINED_AT + UNKNOWN_MILLISECONDS,
  },
];

describe('the last proof of the earlier owners of a shard', () => {
  describe('by what they know of the new owner', test => {
    for (const {owners, latest} of CASES) {
      test(`of ${owners.join(' and ') || 'no known name'}`, () => {
        assert.is(open().latestProofOf(owners, GAINED_AT), latest);
      });
    }
  });

  describe('that may not know the new owner', test => {
    test('are named', () => {
      const owners = ['own', 'known', 'late', 'unknown', 'blocked'];
      const unaware = open().unawareOf(owners, GAINED_AT);
      assert.equal(unaware, ['unknown', 'blocked']);
    });
  });

  describe('by the registration of the new owner', test => {
    test('counts no introduction to another registration', () => {
      const latest = open('next').latestProofOf(['known'], GAINED_AT);
      assert.is(latest, GAINED_AT + UNKNOWN_MILLISECONDS);
    });

    test('is before the gain once every owner has to know it', () => {
      const gainedAt = REGISTERED_AT + LONG_MILLISECONDS;
      assert.is(open().latestProofOf(['unknown'], gainedAt), gainedAt);
    });
  });
});
