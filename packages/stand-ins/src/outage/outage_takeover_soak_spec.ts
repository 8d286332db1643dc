import * as assert from 'uvu/assert';
import {createSeededRandom, describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from '../jobs/rival_owners_soak.js';
import {OutageFleet} from './outage_fleet.js';
import {OutageTroubles} from './outage_troubles.js';

/** Tasks run twice there without the wait for owners that don't know the new one. */
const REGRESSION_SEEDS = [8, 16, 19];
const SEEDS = new Set([...REGRESSION_SEEDS, ...RivalOwnersSoak.seeds(4)]);
const REPLACED_SEEDS = RivalOwnersSoak.seeds(8);
const START_MILLISECONDS = 3_000;
const TROUBLE_MILLISECONDS = 60_000;
/** Longer than a new owner may have to wait for one that it can't hear of. */
const RECOVERY_MILLISECONDS = 45_000;

const REPLACED = {replacesEntries: true, lostAnswerShare: 0.3};

async function play(
  seed: number,
  options?: typeof REPLACED,
): Promise<OutageFleet> {
  const fleet = new OutageFleet();
  const names = ['one', 'two', 'three'].slice(seed % 2);
  for (const name of names) fleet.startEntry(name);
  for (const name of ['a', 'b', 'c', 'd']) fleet.startAgent(name);
  await fleet.pass(START_MILLISECONDS);
  const troubles = new OutageTroubles(fleet, createSeededRandom(seed), options);
  await fleet.pass(TROUBLE_MILLISECONDS, () => troubles.maybeBegin());
  troubles.endAll();
  await fleet.pass(RECOVERY_MILLISECONDS, () => troubles.endSomeRuns());
  return fleet;
}

function assertFinished(fleet: OutageFleet): void {
  const {history} = fleet.parts;
  assert.is(history.concurrentRuns.length, 0, 'concurrent runs');
  assert.is(history.repeatedRuns.length, 0, 'repeated runs');
  assert.ok(fleet.accepted.length > 0);
  const statuses = fleet.accepted.map(
    job => fleet.ownerOf(job)?.owner.status(job) ?? `${job} not owned`,
  );
  const open = statuses.filter(one => one !== 'complete' && one !== 'failed');
  assert.equal(open, []);
}

describe('entries and agents that the store turns away, in turn or all at once', () => {
  describe('while entries are killed and return', test => {
    for (const seed of SEEDS) {
      test(`start no task twice and finish every job, seed ${seed}`, async () => {
        assertFinished(await play(seed));
      });
    }
  });

  describe('while entries are replaced, and answers are lost', test => {
    for (const seed of REPLACED_SEEDS) {
      test(`start no task twice and finish every job, seed ${seed}`, async () => {
        assertFinished(await play(seed, REPLACED));
      });
    }
  });
});
