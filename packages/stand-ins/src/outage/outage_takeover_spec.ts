import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {OutageEntry} from './outage_entry.js';
import {OutageFleet} from './outage_fleet.js';

const START_MILLISECONDS = 3_000;
/** Time in which the registration of a killed entry ends. */
const REGISTRATION_MILLISECONDS = 3_000;
/** Longer than a new owner waits for an agent that an earlier one can't renew. */
const TAKEOVER_MILLISECONDS = 15_000;
const OUTAGE_MILLISECONDS = 25_000;
const JOB = 'j';
const TASKS = 6;

/** Two entries, and three agents that run a job of long-running tasks. */
async function open() {
  const fleet = new OutageFleet();
  for (const name of ['one', 'two']) fleet.startEntry(name);
  for (const name of ['a', 'b', 'c']) fleet.startAgent(name);
  await fleet.pass(START_MILLISECONDS);
  void fleet.submit(JOB, {count: TASKS, isLasting: true});
  await fleet.pass(START_MILLISECONDS);
  const owner = fleet.ownerOf(JOB)!;
  const other = fleet.entries.find(one => one !== owner)!;
  return {fleet, owner, other, agent: fleet.agents[0]!};
}

/** The store turns the owner and an agent away, and ends the owner's lease. */
function turnAway(fleet: OutageFleet, owner: OutageEntry): void {
  owner.store.turnAway(true);
  fleet.agents[0]!.store.turnAway(false);
}

function startsOf(fleet: OutageFleet): number {
  return fleet.agents.flatMap(one => one.worker.began).length;
}

function runningTasks(fleet: OutageFleet): number {
  const running = fleet.agents.flatMap(one => [...one.worker.running.keys()]);
  return new Set(running).size;
}

// An owner without its lease went on renewing while another entry started its tasks.
describe('the takeover of shards from an owner that the store turns away', () => {
  describe('by an entry that returns then', test => {
    test('starts no task twice, and none again once all are in touch', async () => {
      const {fleet, owner, other} = await open();
      fleet.killEntry(other);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      turnAway(fleet, owner);
      fleet.startEntry(other.name);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.ok(fleet.ownerOf(JOB) !== owner);
      assert.equal(fleet.parts.history.concurrentRuns, []);
      fleet.recover();
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
      assert.is(runningTasks(fleet), TASKS);
    });
  });

  describe('by an entry that it knows', test => {
    test('starts no task twice when the store is then away for all', async () => {
      const {fleet, owner, other} = await open();
      turnAway(fleet, owner);
      await fleet.pass(REGISTRATION_MILLISECONDS);
      assert.is(fleet.ownerOf(JOB), other);
      fleet.parts.store.isDown = true;
      await fleet.pass(OUTAGE_MILLISECONDS);
      fleet.parts.store.isDown = false;
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
    });

    test('waits no longer for a silent agent than without the outage', async () => {
      const {fleet, owner, agent} = await open();
      fleet.killEntry(owner);
      for (const {name} of fleet.entries) fleet.network.cut(name, agent.name);
      await fleet.pass(TAKEOVER_MILLISECONDS);
      const others = fleet.agents.filter(one => one !== agent);
      const running = others.flatMap(one => [...one.worker.running.keys()]);
      assert.is(new Set(running).size, TASKS);
      assert.equal(fleet.parts.history.concurrentRuns, []);
    });
  });
});

describe('an outage of the store for all', () => {
  describe('while every entry is linked', test => {
    test('leaves every task running', async () => {
      const {fleet} = await open();
      const starts = startsOf(fleet);
      fleet.parts.store.isDown = true;
      await fleet.pass(OUTAGE_MILLISECONDS);
      assert.is(runningTasks(fleet), TASKS);
      fleet.parts.store.isDown = false;
      await fleet.pass(TAKEOVER_MILLISECONDS);
      assert.is(runningTasks(fleet), TASKS);
      assert.is(startsOf(fleet), starts);
    });
  });
});
