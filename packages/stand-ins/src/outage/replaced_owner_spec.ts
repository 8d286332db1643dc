import * as assert from 'uvu/assert';
import {TaskName} from '@chicoryspring/contracts';
import {ShardHash} from '@chicoryspring/shards/shard/shard_hash.js';
import {describe} from '@chicoryspring/testing';
import type {OutageEntry} from './outage_entry.js';
import {TakeoverFixture} from './takeover_fixture.js';

/** Time in which the registration of a killed entry ends. */
const REGISTRATION_MILLISECONDS = 3_000;
/** Longer than a new owner waits for an agent that an earlier one can't renew. */
const TAKEOVER_MILLISECONDS = 15_000;
/** Longer than that, while an earlier owner may go on. */
const GRACE_MILLISECONDS = 25_000;
/** Long enough for a lease to lapse on the clock of its holder, and to be denied. */
const LOST_ANSWERS_MILLISECONDS = 3_500;
/** Time in which an entry reads that a registration is gone. */
const READ_MILLISECONDS = 600;
/** Time in which an accepted job is placed, and more. */
const PLACEMENT_MILLISECONDS = 1_000;
const NAME_CHOICES = 50;

/** A name whose entry gains the shards although the other one is there. */
function newcomerBeside(other: OutageEntry): string {
  const names = Array.from({length: NAME_CHOICES}, (_, n) => `new-${n}`);
  const isPreferred = (name: string) =>
    ShardHash.preferredOwner(0, [other.name, name]) === name;
  return names.find(isPreferred)!;
}

/** Starts an entry that gains the shards; it and the other one lose the agent. */
function startNewcomer({fleet, other, agent}: TakeoverFixture): OutageEntry {
  const name = newcomerBeside(other);
  for (const entry of [name, other.name]) fleet.network.cut(entry, agent.name);
  return fleet.startEntry(name);
}

/** The new owner has started every task that ran on the agent, and none too early. */
function assertTakenOver(fixture: TakeoverFixture): void {
  assert.is(fixture.runningTasks(true).size, fixture.taskCount);
  assert.equal(fixture.concurrentRuns, []);
}

/** The earlier owner has kept the tasks on the agent, and no other one started them. */
function assertRenewedInGrace(fixture: TakeoverFixture): void {
  assert.ok(fixture.currentOwner !== fixture.owner);
  assert.ok(fixture.agent.worker.running.size > 0);
  assert.equal(fixture.concurrentRuns, []);
}

// Nothing was placed for 71 s after the owner and an agent were lost: review/6.
describe('an entry that gains the shards of an owner that never knew it', () => {
  describe('beside a third entry that this owner knew', test => {
    test('waits no longer for a silent agent than one that it knew', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, owner} = fixture;
      fleet.killEntry(owner);
      const newcomer = startNewcomer(fixture);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fixture.currentOwner, newcomer);
      assertTakenOver(fixture);
    });

    test('waits no longer either if it has restarted just then', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, owner, other} = fixture;
      const name = newcomerBeside(other);
      const restarted = fleet.startEntry(name);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      for (const entry of [restarted, owner]) fleet.killEntry(entry);
      startNewcomer(fixture);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fixture.currentOwner?.name, name);
      assertTakenOver(fixture);
    });

    // New jobs waited as long, although nothing of them can run anywhere.
    test('starts a new job while it waits for a silent agent', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, owner, taskCount} = fixture;
      fleet.killEntry(owner);
      startNewcomer(fixture);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      void fleet.submit('new', {count: taskCount});
      await fleet.pass(PLACEMENT_MILLISECONDS);
      const tasks = [...fixture.runningTasks()];
      const started = tasks.filter(one => TaskName.parseJobId(one) === 'new');
      assert.is(started.length, taskCount);
    });

    test('waits no longer if this owner goes on without the store', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet} = fixture;
      fixture.turnAway(false);
      const newcomer = startNewcomer(fixture);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fixture.currentOwner, newcomer);
      assertTakenOver(fixture);
    });

    test('waits on if the third entry loses contact with the store as well', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, other} = fixture;
      fixture.turnAway(false);
      const newcomer = startNewcomer(fixture);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      assert.is(fixture.currentOwner, newcomer);
      other.store.turnAway(true);
      await fleet.pass(GRACE_MILLISECONDS);
      assertRenewedInGrace(fixture);
    });

    test('waits from its last denial if answers to the third entry were lost', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, other} = fixture;
      fixture.turnAway(false);
      startNewcomer(fixture);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      other.store.loseAnswers();
      await fleet.pass(LOST_ANSWERS_MILLISECONDS);
      assert.ok(other.ownership.storeContact.lastDenialAt > 0);
      other.store.serve();
      await fleet.pass(GRACE_MILLISECONDS);
      assertTakenOver(fixture);
    });
  });

  describe('beside a third entry that this owner may not know', test => {
    test('starts none of its tasks if the third entry registers then as well', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, other} = fixture;
      fleet.killEntry(other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      fixture.turnAway(false);
      fleet.startEntry(other.name);
      startNewcomer(fixture);
      await fleet.pass(GRACE_MILLISECONDS);
      assertRenewedInGrace(fixture);
    });

    test('starts none of its tasks if the registration of the third entry is gone', async () => {
      const fixture = await TakeoverFixture.open();
      const {fleet, other} = fixture;
      other.store.turnAway(true);
      await fleet.pass(READ_MILLISECONDS);
      fixture.turnAway(false);
      startNewcomer(fixture);
      await fleet.pass(GRACE_MILLISECONDS);
      assertRenewedInGrace(fixture);
    });
  });
});
