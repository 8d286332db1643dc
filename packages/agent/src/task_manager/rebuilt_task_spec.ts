import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeWorker} from './spec/fake_worker.js';
import {TaskManagerFixture} from './spec/task_manager_fixture.js';

/** Longer than a probation and the next renewal. */
const PASSED_MILLISECONDS = 2_500;
/** Two rounds of the lease guard. */
const REPORT_MILLISECONDS = 2_000;
/** Longer than an isolated start waits for the others. */
const ISOLATED_START_MILLISECONDS = 1_500;
const LEASE_MILLISECONDS = 6_000;

/** An agent that has started anew beside a worker on which a task runs. */
async function withFoundTask(
  use: (fixture: TaskManagerFixture) => Promise<void>,
): Promise<void> {
  const worker = new FakeWorker();
  const earlier = await new TaskManagerFixture(worker).open();
  await earlier.start('a');
  earlier.close();
  const fixture = await new TaskManagerFixture(worker).open();
  fixture.renew(['a']);
  try {
    await fixture.elapse(PASSED_MILLISECONDS);
    await use(fixture);
  } finally {
    fixture.close();
  }
}

describe('task that an agent found on its worker', () => {
  describe('long after its start', test => {
    test('does not keep an isolated task out', () =>
      withFoundTask(async fixture => {
        const started = fixture.start('b', 1, 1, LEASE_MILLISECONDS, 'brief');
        await fixture.elapse(ISOLATED_START_MILLISECONDS);
        assert.is(await started, 'done');
      }));

    test('is not suspected when the worker loses it', () =>
      withFoundTask(async fixture => {
        fixture.worker.restart();
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.is(fixture.losses.get('a')?.isInProbation, false);
      }));
  });
});
