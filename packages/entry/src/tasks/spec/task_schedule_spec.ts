import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {describe} from '@chicoryspring/testing';
import type {LinkFault} from './link_fault_types.js';
import {OwnerFleetFixture} from './owner_fleet_fixture.js';

const SEED = 20_261_205;
const RUNS = 60;
const STEP_MILLISECONDS = 50;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
/** Enough steps for leases to expire and tasks to be placed again. */
const RECOVERY_STEPS = 300;
const TASKS = ['t1', 't2', 't3', 't4'];

const storeFault = fc.record({
  kind: fc.constantFrom(
    ...Array<'none'>(9).fill('none'),
    'refused',
    'dropped',
    'lost',
  ),
  requestMilliseconds: fc.constantFrom(0, 0, 50),
  replyMilliseconds: fc.constantFrom(0, 0, 300),
}) as fc.Arbitrary<MemoryStoreFault>;

const linkFault = fc.record({
  kind: fc.constantFrom(
    ...Array<'none'>(5).fill('none'),
    'refused',
    'dropped',
    'lost',
  ),
  milliseconds: fc.constantFrom(0, 0, 50, 1_000),
}) as fc.Arbitrary<LinkFault>;

const step = fc.record({
  action: fc.constantFrom(
    'submit',
    'submit',
    'settle',
    'settle',
    'move',
    'lapse',
    'recover',
    'complete',
    'wait',
  ),
  entry: fc.nat(1),
  task: fc.constantFrom(...TASKS),
  members: fc.constantFrom(['one', 'two'], ['one'], ['two']),
  steps: fc.constantFrom(1, 4, 20, 80),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

async function advance(
  fleet: OwnerFleetFixture,
  steps: number,
  duplicated: Set<string>,
): Promise<void> {
  for (let passed = 0; passed < steps; passed += 1) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    for (const task of fleet.duplicated) duplicated.add(task);
    fleet.reportEndings();
  }
}

async function applyStep(
  fleet: OwnerFleetFixture,
  one: Step,
  accepted: Set<string>,
): Promise<void> {
  const owner = fleet.owners[one.entry]!;
  if (one.action === 'submit') submit(fleet, one.task, accepted);
  if (one.action === 'settle') fleet.reconcileAll();
  if (one.action === 'lapse') owner.expireLease();
  if (one.action === 'recover') owner.recover();
  if (one.action === 'complete') fleet.agents[one.entry]!.completeAll();
  if (one.action === 'move') {
    fleet.members = one.members;
    fleet.reconcileAll();
  }
}

function submit(
  fleet: OwnerFleetFixture,
  task: string,
  accepted: Set<string>,
): void {
  const owner = fleet.owners.find(one => one.table.owns(task));
  const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  void owner?.records
    .submit(fleet.task(task), deadline)
    .then(() => accepted.add(task))
    .catch(() => undefined);
}

/** Ends the faults and runs until every accepted task has completed. */
async function recover(
  fleet: OwnerFleetFixture,
  duplicated: Set<string>,
): Promise<void> {
  fleet.isFaultFree = true;
  for (const owner of fleet.owners) owner.recover();
  for (let round = 0; round < 3; round += 1) {
    fleet.reconcileAll();
    await advance(fleet, RECOVERY_STEPS, duplicated);
    for (const agent of fleet.agents) agent.completeAll();
  }
  await advance(fleet, RECOVERY_STEPS, duplicated);
}

describe('tasks', () => {
  describe('under a seeded schedule of faults', test => {
    test('run on one worker at a time, complete once and are not lost', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, {minLength: 15, maxLength: 50, size: 'max'}),
          fc.array(storeFault, {minLength: 8, maxLength: 60, size: 'max'}),
          fc.array(linkFault, {minLength: 8, maxLength: 60, size: 'max'}),
          async (steps, storeFaults, linkFaults) => {
            const fleet = new OwnerFleetFixture(storeFaults, linkFaults);
            const duplicated = new Set<string>();
            const accepted = new Set<string>();
            fleet.reconcileAll();
            await advance(fleet, 20, duplicated);
            fleet.isFaultFree = false;
            for (const one of steps) {
              await applyStep(fleet, one, accepted);
              await advance(fleet, one.steps, duplicated);
            }
            await recover(fleet, duplicated);
            fleet.stopping.abort();
            for (const owner of fleet.owners) owner.table.stop();
            assert.equal([...duplicated], [], 'tasks ran in two places');
            for (const task of accepted) {
              assert.is(fleet.completions(task), 1, `${task} completed`);
            }
          },
        ),
        {seed: SEED, numRuns: RUNS, includeErrorInReport: true},
      );
    });
  });
});
