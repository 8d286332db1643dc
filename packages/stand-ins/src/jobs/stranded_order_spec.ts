import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import {SharedWorkerFixture} from './shared_worker_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
/** Time after which an owner's last permission has ended. */
const PERMISSION_MILLISECONDS = 3_000;
/** Time after an owner was lost in which the task of another has to run. */
const RECOVERY_MILLISECONDS = 7_000;
const LOST_OWNER = 0;
const OTHER_OWNER = 1;
const ALL_ROOM = {processors: 4, memoryMebibytes: 4_000, accelerators: 0};
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};

const CELLS = [
  {what: 'of an isolated run', resources: SMALL, isIsolated: true},
  {what: 'that takes all room', resources: ALL_ROOM, isIsolated: false},
] as const;

/** An order of an owner that is gone, whose start the worker doesn't confirm. */
async function openWithOrder(
  {resources, isIsolated}: (typeof CELLS)[number],
  fate: CallFate = 'lost',
) {
  const fixture = new SharedWorkerFixture();
  await fixture.open();
  const {fleet, worker, session} = fixture;
  await fleet.pass(ROUND_MILLISECONDS);
  worker.starts.always = fate;
  fixture.disconnect(LOST_OWNER);
  const task = `${fixture.newJobId(LOST_OWNER)}.0.0.0`;
  const description = {resources, isFilling: false, isLasting: true};
  session.start({
    task,
    run: 1,
    spec: 'spec',
    checkpoint: '',
    description,
    pace: 100,
    isIsolated,
  });
  return {fixture, fleet, worker, task};
}

describe('an order without a confirmed start', () => {
  for (const cell of CELLS) {
    describe(`${cell.what}, whose owner is gone`, test => {
      test('does not keep the tasks of other owners out', async () => {
        const {fixture, fleet, worker} = await openWithOrder(cell);
        await fleet.pass(PERMISSION_MILLISECONDS);
        worker.starts.always = 'answered';
        const other = await fixture.submit(OTHER_OWNER, {isLasting: true});
        await fleet.pass(RECOVERY_MILLISECONDS - PERMISSION_MILLISECONDS);
        assert.ok(worker.running.has(other));
        assert.is(worker.began.length, 1);
      });

      test('is not carried out late once it has been given up', async () => {
        const {fixture, fleet, worker, task} = await openWithOrder(
          cell,
          'late',
        );
        await fleet.pass(PERMISSION_MILLISECONDS);
        worker.starts.always = 'answered';
        await fixture.submit(OTHER_OWNER, {isLasting: true});
        await fleet.pass(RECOVERY_MILLISECONDS - PERMISSION_MILLISECONDS);
        worker.applyLate();
        await fleet.pass(ROUND_MILLISECONDS);
        assert.not(worker.began.some(run => run.startsWith(task)));
      });
    });
  }
});
