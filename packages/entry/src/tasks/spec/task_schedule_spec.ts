import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {describe} from '@chicoryspring/testing';
import type {LinkFault} from './link_fault_types.js';
import {OwnerFleetFixture} from './owner_fleet_fixture.js';

const SEED = 20_261_205;
const RUNS = 60;
const STEP_MILLISECONDS = 50;
const PATIENCE_MILLISECONDS = 2_000;
/** Long enough for leases to pass and tasks to be placed again. */
const MENDING_STEPS = 300;
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

async function pass(
  fleet: OwnerFleetFixture,
  steps: number,
  doubled: Set<string>,
): Promise<void> {
  for (let passed = 0; passed < steps; passed += 1) {
    await fleet.clock.advance(STEP_MILLISECONDS);
    for (const task of fleet.doubled) doubled.add(task);
    fleet.reportEndings();
  }
}

async function take(
  fleet: OwnerFleetFixture,
  one: Step,
  accepted: Set<string>,
): Promise<void> {
  const owner = fleet.owners[one.entry]!;
  if (one.action === 'submit') submit(fleet, one.task, accepted);
  if (one.action === 'settle') fleet.settleAll();
  if (one.action === 'lapse') owner.lapse();
  if (one.action === 'recover') owner.recover();
  if (one.action === 'complete') fleet.agents[one.entry]!.completeAll();
  if (one.action === 'move') {
    fleet.members = one.members;
    fleet.settleAll();
  }
}

function submit(
  fleet: OwnerFleetFixture,
  task: string,
  accepted: Set<string>,
): void {
  const owner = fleet.owners.find(one => one.table.owns(task));
  const limit = fleet.clock.now() + PATIENCE_MILLISECONDS;
  void owner?.records
    .submit(fleet.task(task), limit)
    .then(() => accepted.add(task))
    .catch(() => undefined);
}

/** Ends the faults and lets every accepted task come to its end. */
async function mend(
  fleet: OwnerFleetFixture,
  doubled: Set<string>,
): Promise<void> {
  fleet.isMended = true;
  for (const owner of fleet.owners) owner.recover();
  for (let round = 0; round < 3; round += 1) {
    fleet.settleAll();
    await pass(fleet, MENDING_STEPS, doubled);
    for (const agent of fleet.agents) agent.completeAll();
  }
  await pass(fleet, MENDING_STEPS, doubled);
}

describe('tasks', () => {
  describe('under a seeded schedule of faults', test => {
    test('run in one place and complete once, and none is lost', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, {minLength: 15, maxLength: 50, size: 'max'}),
          fc.array(storeFault, {minLength: 8, maxLength: 60, size: 'max'}),
          fc.array(linkFault, {minLength: 8, maxLength: 60, size: 'max'}),
          async (steps, storeFaults, linkFaults) => {
            const fleet = new OwnerFleetFixture(storeFaults, linkFaults);
            const doubled = new Set<string>();
            const accepted = new Set<string>();
            fleet.settleAll();
            await pass(fleet, 20, doubled);
            fleet.isMended = false;
            for (const one of steps) {
              await take(fleet, one, accepted);
              await pass(fleet, one.steps, doubled);
            }
            await mend(fleet, doubled);
            fleet.stopping.abort();
            for (const owner of fleet.owners) owner.table.stop();
            assert.equal([...doubled], [], 'tasks ran in two places');
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
