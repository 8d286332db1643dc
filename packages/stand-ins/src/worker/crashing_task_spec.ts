import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {CrashingFleet} from './spec/crashing_fleet.js';

/** With one worker, all of them share it each time. */
const WORKER_COUNTS = [1, 3];
const CULPRIT = 'culprit';
const NEIGHBOURS = ['a', 'b', 'c', 'd', 'e', 'f'];
/** Time between the start of the neighbours and that of the culprit. */
const LEAD_MILLISECONDS = 5_000;
/** Enough for every crash, isolation and start that follows. */
const END_MILLISECONDS = 180_000;

const CASES = [
  {what: 'as it starts', crash: 0, maxStarts: 2},
  {what: 'half a second after its start', crash: 500, maxStarts: 2},
  {what: 'three seconds after its start', crash: 3_000, maxStarts: 5},
];

async function createFleet(
  workers: number,
  crash: number,
): Promise<CrashingFleet> {
  const fleet = new CrashingFleet(workers, new Map([[CULPRIT, crash]]));
  await fleet.open();
  return fleet;
}

/** Checks that the culprit has ended and that the others run, once each. */
function check(fleet: CrashingFleet, maxStarts: number): void {
  const {state, reason} = fleet.record(CULPRIT);
  assert.equal({state, reason}, {state: 'failed', reason: 'quarantined'});
  assert.ok(fleet.startsOf(CULPRIT) <= maxStarts);
  for (const id of NEIGHBOURS) {
    assert.is(fleet.record(id).state, 'running', id);
    assert.is(fleet.runsOf(id), 1, id);
  }
}

describe('a task that crashes its workers', () => {
  for (const {what, crash, maxStarts} of CASES) {
    describe(what, test => {
      for (const workers of WORKER_COUNTS) {
        test(`is quarantined, and its older neighbours run, on ${workers}`, async () => {
          const fleet = await createFleet(workers, crash);
          for (const id of NEIGHBOURS) fleet.submit(id);
          await fleet.pass(LEAD_MILLISECONDS);
          fleet.submit(CULPRIT);
          await fleet.pass(END_MILLISECONDS);
          check(fleet, maxStarts);
          fleet.close();
        });

        test(`is quarantined, and neighbours that start with it run, on ${workers}`, async () => {
          const fleet = await createFleet(workers, crash);
          for (const id of [...NEIGHBOURS, CULPRIT]) fleet.submit(id);
          await fleet.pass(END_MILLISECONDS);
          check(fleet, maxStarts);
          fleet.close();
        });
      }
    });
  }
});
