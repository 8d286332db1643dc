import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {GraceBlock} from './grace_block_types.js';
import {OwnGraceBlocks} from './own_grace_blocks.js';

const REGISTERED_AT = 10_000;
const INTRODUCED_AT = 15_000;
const READ_AT = 40_000;
const DENIED_AT = 30_000;
/** Later than every owner in a grace period knows the registration. */
const LATE_READ_AT = 90_000;
const KNOWN_TO_ALL_AT = 80_000;

interface Situation {
  readonly what: string;
  readonly owner?: string;
  /** Registration that the last read has found. */
  readonly read?: string;
  readonly current?: string;
  readonly readAt?: number | undefined;
  readonly lastDenialAt?: number;
  readonly block: GraceBlock | undefined;
}

const INTRODUCED = {since: INTRODUCED_AT, until: READ_AT};

const CASES: readonly Situation[] = [
  {what: 'one that knows it', block: INTRODUCED},
  {
    what: 'one that it has denied contact to',
    lastDenialAt: DENIED_AT,
    block: {since: DENIED_AT, until: READ_AT},
  },
  {what: 'one that may not know it', owner: 'unknown', block: undefined},
  {
    what: 'one that has to know it by now',
    owner: 'unknown',
    readAt: LATE_READ_AT,
    block: {since: KNOWN_TO_ALL_AT, until: LATE_READ_AT},
  },
  {what: 'itself', owner: 'own', readAt: LATE_READ_AT, block: undefined},
  {what: 'any while its state is stale', readAt: undefined, block: undefined},
  {what: 'any after another registration', read: 'next', block: undefined},
  {
    what: 'any before its registration is read',
    current: 'next',
    block: undefined,
  },
  {
    what: 'any that it has denied contact to since its last read',
    lastDenialAt: READ_AT + 1,
    block: undefined,
  },
];

/** The block by an entry that `known` knows under the registration `first`. */
function blockIn(situation: Situation): GraceBlock | undefined {
  const {owner = 'known', read = 'first', current = 'first'} = situation;
  const {lastDenialAt = -Infinity} = situation;
  const readAt = 'readAt' in situation ? situation.readAt : READ_AT;
  const isIntroduced = (entry: string, id: string) =>
    entry === 'known' && id === 'first';
  const blocks = new OwnGraceBlocks({
    entryName: 'own',
    registration: () => ({id: current, registeredAt: REGISTERED_AT}),
    introductions: {
      introducedAt: (...entry) =>
        isIntroduced(...entry) ? INTRODUCED_AT : undefined,
    },
    live: {
      entries: [{name: 'own', linkUrl: 'ws://own', registration: read}],
      confirmedAt: readAt,
    },
    storeContact: {lastDenialAt},
  });
  return blocks.blockOf(owner);
}

describe('the grace periods that an entry blocks', () => {
  describe('of an owner', test => {
    for (const situation of CASES) {
      const blocks = situation.block ? 'blocks' : 'does not block';
      test(`${blocks} ${situation.what}`, () => {
        assert.equal(blockIn(situation), situation.block);
      });
    }
  });
});
