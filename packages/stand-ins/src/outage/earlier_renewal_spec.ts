import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {OutageFleet} from './outage_fleet.js';

const START_MILLISECONDS = 3_000;
/** Time in which the registration of a killed entry ends. */
const REGISTRATION_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 20;
/** Longer than an owner goes on without its lease. */
const GRACE_MILLISECONDS = 65_000;

describe('an owner whose lease the store ends early', () => {
  describe('while it knows no other entry', test => {
    // The next owner of tasks left out the lease, which counts on for its holder.
    test('renews no longer than the next owner of tasks waits', async () => {
      const fleet = new OutageFleet();
      const [owner, other] = ['one', 'two'].map(name => fleet.startEntry(name));
      await fleet.pass(START_MILLISECONDS);
      fleet.killEntry(other!);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      owner!.store.turnAway(true);
      const next = fleet.startEntry('two');
      while (next.table.ownedShards.length === 0)
        await fleet.pass(STEP_MILLISECONDS);
      const {clock} = fleet.parts;
      const {previousOwnerRenewalMilliseconds} = next.ownership.current;
      const waitsUntil = clock.now() + previousOwnerRenewalMilliseconds;
      let renewsUntil = clock.now();
      await fleet.pass(GRACE_MILLISECONDS, () => {
        if (owner!.ownership.current.mayRenew) renewsUntil = clock.now();
      });
      assert.ok(renewsUntil > waitsUntil - START_MILLISECONDS);
      assert.ok(renewsUntil <= waitsUntil);
    });
  });
});
