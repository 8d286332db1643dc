import * as assert from 'uvu/assert';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ManualClock, describe} from '@chicoryspring/testing';
import {OutageGracePeriod} from './outage_grace_period.js';

const LEASE_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 100;
/** Longer than the answers of other entries are valid. */
const SUSPENSION_MILLISECONDS = 2_000;

const SHARD = 3;
const EPOCH = 50;

type Answer = 'contact' | 'no contact' | 'silent' | 'earlier' | 'later';

/** What the other entry owns by its answer. */
const OWNED_SHARDS: Readonly<Partial<Record<Answer, readonly object[]>>> = {
  earlier: [{shard: SHARD, epoch: EPOCH - 1}],
  later: [{shard: SHARD, epoch: EPOCH + 1}],
};

/** A link to another entry that always gives the same answer. */
function linkTo(answer: Answer): Link {
  const call = async () => {
    if (answer === 'silent') throw new ChicoryspringError('link-closed', '');
    const hasContact = answer === 'contact';
    return {hasContact, ownedShards: OWNED_SHARDS[answer] ?? []};
  };
  return {call} as unknown as Link;
}

const CASES: readonly {
  readonly what: string;
  readonly own: number;
  readonly links: readonly Answer[] | undefined;
  readonly isValid: boolean;
}[] = [
  {what: 'alone', own: 0, links: [], isValid: true},
  {what: 'all without contact', own: 0, links: ['no contact'], isValid: true},
  {what: 'one in contact', own: 0, links: ['contact'], isValid: false},
  {
    what: 'one of two in contact',
    own: 0,
    links: ['no contact', 'contact'],
    isValid: false,
  },
  {what: 'one was an earlier owner', own: 0, links: ['earlier'], isValid: true},
  {what: 'one is a later owner', own: 0, links: ['later'], isValid: false},
  {what: 'one unresponsive', own: 0, links: ['silent'], isValid: false},
  {what: 'one not linked', own: 0, links: undefined, isValid: false},
  {what: 'itself in contact', own: 500, links: [], isValid: false},
];

/** Time for which a previous owner's lease and grace period are waited for. */
const WAITS = [
  {contact: 0, registered: 0, waits: 62_000},
  {contact: 69_000, registered: 71_000, waits: 62_000},
  {contact: 71_000, registered: 69_000, waits: 62_000},
  {contact: 71_000, registered: 71_000, waits: 0},
];

async function createFixture(
  ownContact: number,
  links: readonly Answer[] | undefined,
) {
  const clock = new ManualClock();
  const stopping = new AbortController();
  const state = {own: ownContact, links, suspended: 0};
  const leaseDeadline = clock.now() + LEASE_MILLISECONDS;
  const gracePeriod = new OutageGracePeriod({
    clock,
    links: () => state.links?.map(linkTo),
    ownedShards: () => [{shard: SHARD, epoch: EPOCH}],
    leaseDeadline: () => leaseDeadline,
    entriesKnownUntil: () => leaseDeadline,
    contactMilliseconds: () => state.own,
    timeOfDay: () => clock.now() + state.suspended,
  });
  void gracePeriod.run(stopping.signal);
  const advance = async (milliseconds: number) => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
    }
  };
  await advance(LEASE_MILLISECONDS);
  return {gracePeriod, state, advance, stop: () => stopping.abort()};
}

describe('outage grace period', () => {
  describe('is valid or not', test => {
    for (const {what, own, links, isValid} of CASES) {
      test(`${what}: ${isValid}`, async () => {
        const {gracePeriod, stop} = await createFixture(own, links);
        assert.is(gracePeriod.isValid, isValid);
        stop();
      });
    }
  });

  describe('ends', test => {
    test('soon after another entry has contact again', async () => {
      const {gracePeriod, state, advance, stop} = await createFixture(0, [
        'no contact',
      ]);
      state.links = ['contact'];
      await advance(1_600);
      assert.is(gracePeriod.isValid, false);
      stop();
    });

    test('while the machine is suspended, whose steady clock stands still', async () => {
      const {gracePeriod, state, stop} = await createFixture(0, []);
      assert.is(gracePeriod.isValid, true);
      state.suspended = SUSPENSION_MILLISECONDS;
      assert.is(gracePeriod.isValid, false);
      stop();
    });

    test('a minute after the lease', async () => {
      const {gracePeriod, advance, stop} = await createFixture(0, [
        'no contact',
      ]);
      await advance(59_000);
      assert.is(gracePeriod.isValid, true);
      await advance(1_100);
      assert.is(gracePeriod.isValid, false);
      stop();
    });
  });

  describe('of a previous owner', test => {
    for (const {contact, registered, waits} of WAITS) {
      test(`after contact for ${contact} ms and registration for ${registered} is ${waits}`, async () => {
        const {gracePeriod, stop} = await createFixture(contact, []);
        const {previousOwnerRenewalMilliseconds} = gracePeriod.ownership({
          isLeaseHeld: true,
          leaseRenewedAt: 0,
          registeredMilliseconds: registered,
        });
        assert.is(previousOwnerRenewalMilliseconds, waits);
        stop();
      });
    }
  });
});
