import * as assert from 'uvu/assert';
import {TaskName} from '@chicoryspring/contracts';
import {ShardHash} from '@chicoryspring/shards/shard/shard_hash.js';
import {describe} from '@chicoryspring/testing';
import type {OutageEntry} from './outage_entry.js';
import {OutageFleet} from './outage_fleet.js';

const START_MILLISECONDS = 3_000;
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
const JOB = 'j';
const TASKS = 6;
const NAME_CHOICES = 50;

/** An owner, another entry, and three agents that run a job of long-running tasks. */
async function open() {
  const fleet = new OutageFleet();
  for (const name of ['one', 'two']) fleet.startEntry(name);
  for (const name of ['a', 'b', 'c']) fleet.startAgent(name);
  await fleet.pass(START_MILLISECONDS);
  void fleet.submit(JOB, {count: TASKS, isLasting: true});
  await fleet.pass(START_MILLISECONDS);
  const owner = fleet.ownerOf(JOB)!;
  const other = fleet.entries.find(one => one !== owner)!;
  return {fleet, owner, other};
}

/** A name whose entry gains the shards although the other one is there. */
function newcomerBeside(other: OutageEntry): string {
  const names = Array.from({length: NAME_CHOICES}, (_, n) => `new-${n}`);
  const isPreferred = (name: string) =>
    ShardHash.preferredOwner(0, [other.name, name]) === name;
  return names.find(isPreferred)!;
}

/** Starts an entry at a new address that gains the shards, and can't reach `a`. */
function startNewcomer(fleet: OutageFleet, other: OutageEntry): OutageEntry {
  const name = newcomerBeside(other);
  for (const entry of [name, other.name]) fleet.network.cut(entry, 'a');
  return fleet.startEntry(name);
}

/** The store turns the owner and `a` away; the owner's lease ends by itself. */
function turnAway(fleet: OutageFleet, owner: OutageEntry): void {
  owner.store.turnAway(false);
  fleet.agents[0]!.store.turnAway(false);
}

/** Tasks that run on agents that the new owner reaches. */
function reachableTasks(fleet: OutageFleet): number {
  const reachable = fleet.agents.filter(one => one.name !== 'a');
  return reachable.flatMap(one => [...one.worker.running.keys()]).length;
}

/** Running tasks of a job. */
function tasksOf(fleet: OutageFleet, job: string): number {
  const running = fleet.agents.flatMap(one => [...one.worker.running.keys()]);
  return running.filter(one => TaskName.parseJobId(one) === job).length;
}

/** The earlier owner has kept the tasks on `a`, and no other one has started them. */
function assertRenewedInGrace(fleet: OutageFleet, owner: OutageEntry): void {
  assert.ok(fleet.ownerOf(JOB) !== owner);
  assert.ok(fleet.agents[0]!.worker.running.size > 0);
  assert.equal(fleet.parts.history.concurrentRuns, []);
}

// Nothing was placed for 71 s after the owner and an agent were lost: review/6.
describe('an entry that gains the shards of an owner that never knew it', () => {
  describe('beside one that this owner knew', test => {
    test('waits no longer for a silent agent than one that it knew', async () => {
      const {fleet, owner, other} = await open();
      fleet.killEntry(owner);
      fleet.network.cut(owner.name, 'a');
      const newcomer = startNewcomer(fleet, other);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fleet.ownerOf(JOB), newcomer);
      assert.is(reachableTasks(fleet), TASKS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
    });

    test('waits no longer either if it has restarted just then', async () => {
      const {fleet, owner, other} = await open();
      const name = newcomerBeside(other);
      const restarted = fleet.startEntry(name);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      for (const entry of [restarted, owner]) fleet.killEntry(entry);
      startNewcomer(fleet, other);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fleet.ownerOf(JOB)?.name, name);
      assert.is(reachableTasks(fleet), TASKS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
    });

    // New jobs waited as long, although nothing of them can run anywhere.
    test('starts a new job while it waits for a silent agent', async () => {
      const {fleet, owner, other} = await open();
      fleet.killEntry(owner);
      startNewcomer(fleet, other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      void fleet.submit('new', {count: TASKS});
      await fleet.pass(PLACEMENT_MILLISECONDS);
      assert.is(tasksOf(fleet, 'new'), TASKS);
    });

    test('waits no longer if this owner goes on without the store', async () => {
      const {fleet, owner, other} = await open();
      turnAway(fleet, owner);
      const newcomer = startNewcomer(fleet, other);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(fleet.ownerOf(JOB), newcomer);
      assert.is(reachableTasks(fleet), TASKS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
    });

    test('waits on if that one loses contact with the store as well', async () => {
      const {fleet, owner, other} = await open();
      turnAway(fleet, owner);
      const newcomer = startNewcomer(fleet, other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      assert.is(fleet.ownerOf(JOB), newcomer);
      other.store.turnAway(true);
      await fleet.pass(GRACE_MILLISECONDS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
      assert.ok(
        fleet.agents[0]!.worker.running.size > 0,
        'renewed in the grace',
      );
    });

    test('waits from its last denial if the answers to that one were lost', async () => {
      const {fleet, owner, other} = await open();
      turnAway(fleet, owner);
      startNewcomer(fleet, other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      other.store.loseAnswers();
      await fleet.pass(LOST_ANSWERS_MILLISECONDS);
      assert.ok(other.ownership.storeContact.lastDenialAt > 0);
      other.store.serve();
      await fleet.pass(GRACE_MILLISECONDS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
      assert.is(reachableTasks(fleet), TASKS);
    });
  });

  describe('beside one that this owner may not know', test => {
    test('starts none of its tasks if that one registers then as well', async () => {
      const {fleet, owner, other} = await open();
      fleet.killEntry(other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      turnAway(fleet, owner);
      startNewcomer(fleet, fleet.startEntry(other.name));
      await fleet.pass(GRACE_MILLISECONDS);
      assertRenewedInGrace(fleet, owner);
    });

    test('starts none of its tasks if the registration of that one is gone', async () => {
      const {fleet, owner, other} = await open();
      other.store.turnAway(true);
      await fleet.pass(READ_MILLISECONDS);
      turnAway(fleet, owner);
      startNewcomer(fleet, other);
      await fleet.pass(GRACE_MILLISECONDS);
      assertRenewedInGrace(fleet, owner);
    });
  });
});
