import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {OwnerFleetFixture} from './owner_fleet_fixture.js';

const STEP_MILLISECONDS = 50;
const ROUND_MILLISECONDS = 1_000;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
/** Time for which an entry counts on its lease after a renewal. */
const ENTRY_LEASE_MILLISECONDS = 2_000;
/** Time after which a new owner gives a silent agent up, and more. */
const EXPIRY_MILLISECONDS = 10_000;
const TASK = 't1';

/** Lets time pass; returns the tasks that ran on two workers. */
async function pass(
  fleet: OwnerFleetFixture,
  milliseconds: number,
): Promise<readonly string[]> {
  const duplicated: string[] = [];
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    duplicated.push(...fleet.duplicated);
  }
  return duplicated;
}

describe('an owner of tasks that the store has cut off', () => {
  describe('whose keys are taken away at once', test => {
    for (const phase of [0, 300, 600, 900, 1_200]) {
      test(`keeps no task beside one of the next owner, ${phase} ms on`, async () => {
        const fleet = new OwnerFleetFixture([], []);
        const [owner, next] = fleet.owners;
        assert.ok(owner && next);
        fleet.members = ['one'];
        fleet.reconcileAll();
        await pass(fleet, ROUND_MILLISECONDS);
        const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
        void owner.records.submit(fleet.task(TASK), deadline);
        owner.owner.notify();
        await pass(fleet, ROUND_MILLISECONDS + phase);
        const agent = fleet.agents.find(one => one.running.includes(TASK));
        assert.ok(agent);
        next.unlink(agent.worker);
        owner.lapseUnnoticed();
        fleet.members = ['two'];
        await next.reconcile();
        const before = await pass(fleet, ENTRY_LEASE_MILLISECONDS);
        owner.expireLease();
        const after = await pass(fleet, EXPIRY_MILLISECONDS);
        const now = fleet.agents.find(one => one.running.includes(TASK));
        fleet.stopping.abort();
        for (const one of fleet.owners) one.table.stop();
        assert.ok(now && now !== agent, 'the next owner has given it up');
        assert.equal([...before, ...after], []);
      });
    }
  });
});
