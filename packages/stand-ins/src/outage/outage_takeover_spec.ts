import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {OutageFleet} from './outage_fleet.js';
import {TakeoverFixture} from './takeover_fixture.js';

/** Time in which the registration of a killed entry ends. */
const REGISTRATION_MILLISECONDS = 3_000;
/** Longer than a new owner waits for an agent that an earlier one can't renew. */
const TAKEOVER_MILLISECONDS = 15_000;
const OUTAGE_MILLISECONDS = 25_000;

function startsOf(fleet: OutageFleet): number {
  return fleet.agents.flatMap(one => one.worker.began).length;
}

// An owner without its lease went on renewing while another entry started its tasks.
describe('the takeover of shards from an owner that the store turns away', () => {
  describe('by an entry that returns then', test => {
    test('starts no task twice, and none again once all are in touch', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, owner, other, taskCount} = fixture;
      fleet.killEntry(other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      fixture.turnAway(true);
      fleet.startEntry(other.name);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.ok(fixture.currentOwner !== owner);
      assert.equal(fixture.concurrentRuns, []);
      fleet.recover();
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.equal(fixture.concurrentRuns, []);
      assert.is(fixture.runningTasks().size, taskCount);
    });
  });

  describe('by an entry that it knows', test => {
    test('starts no task twice when the store is then away for all', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, other} = fixture;
      fixture.turnAway(true);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      assert.is(fixture.currentOwner, other);
      fleet.parts.store.isDown = true;
      await fleet.pass(OUTAGE_MILLISECONDS);
      fleet.parts.store.isDown = false;
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.equal(fixture.concurrentRuns, []);
    });

    test('waits no longer for a silent agent than without the outage', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, owner, agent, taskCount} = fixture;
      fleet.killEntry(owner);
      for (const {name} of fleet.entries) fleet.network.cut(name, agent.name);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fixture.runningTasks(true).size, taskCount);
      assert.equal(fixture.concurrentRuns, []);
    });
  });
});

describe('an outage of the store for all', () => {
  describe('while every entry is linked', test => {
    test('leaves every task running', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, taskCount} = fixture;
      const starts = startsOf(fleet);
      fleet.parts.store.isDown = true;
      await fleet.pass(OUTAGE_MILLISECONDS);
      assert.is(fixture.runningTasks().size, taskCount);
      fleet.parts.store.isDown = false;
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fixture.runningTasks().size, taskCount);
      assert.is(startsOf(fleet), starts);
    });
  });
});
