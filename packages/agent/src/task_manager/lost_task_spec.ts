import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {TaskManagerFixture} from './spec/task_manager_fixture.js';

/** Longer than a probation and the next renewal. */
const PASSED_MILLISECONDS = 2_500;
/** Two rounds of the lease guard. */
const REPORT_MILLISECONDS = 2_000;
const EARLY = {isInProbation: true, isolation: undefined};
const LATE = {isInProbation: false, isolation: undefined};

async function withFixture(
  use: (fixture: TaskManagerFixture) => Promise<void>,
): Promise<void> {
  const fixture = await new TaskManagerFixture().open();
  try {
    await use(fixture);
  } finally {
    fixture.close();
  }
}

describe('task that its worker has lost', () => {
  describe('while it ran', test => {
    test('is reported with a loss in its probation', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.restart();
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.equal(fixture.losses.get('a'), EARLY);
      }));

    test('is reported with a loss after its probation, not beside a new one', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        await fixture.elapse(PASSED_MILLISECONDS);
        await fixture.start('b');
        fixture.worker.restart();
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.losses.get('a'), LATE);
        assert.equal(fixture.losses.get('b'), EARLY);
      }));

    test('is not put down to it if it may have been stopped', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.losesNextStop = true;
        assert.is(await fixture.stop('a'), 'worker-refused');
        fixture.worker.isReachable = true;
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.is(fixture.losses.get('a'), undefined);
      }));
  });

  describe('as it started', test => {
    test('is reported if the worker has started anew', () =>
      withFixture(async fixture => {
        fixture.worker.losesNextReply = true;
        assert.is(await fixture.start('a'), 'worker-refused');
        fixture.worker.restart();
        fixture.worker.isReachable = true;
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.equal(fixture.losses.get('a'), EARLY);
      }));

    test('is not counted if its worker goes on, as the path may be to blame', () =>
      withFixture(async fixture => {
        fixture.worker.losesNextReply = true;
        await fixture.start('a');
        fixture.worker.running.clear();
        fixture.worker.isReachable = true;
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, []);
        assert.equal(fixture.renew(['a']), ['a']);
      }));

    test('is not put down to it if the worker had started anew before', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.restart();
        await fixture.elapse(REPORT_MILLISECONDS);
        fixture.worker.losesNextReply = true;
        await fixture.start('b');
        fixture.worker.running.clear();
        fixture.worker.isReachable = true;
        await fixture.elapse(REPORT_MILLISECONDS);
        assert.equal(fixture.reported, ['a lapsed']);
      }));
  });

  describe('and is started in isolation', test => {
    test('waits until the others have passed their probation', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        const started = fixture.start('b', 1, 1, undefined, 'brief');
        await fixture.elapse(500);
        assert.equal(fixture.worker.starts, ['a/1']);
        await fixture.elapse(1_000);
        assert.is(await started, 'done');
        assert.equal(fixture.worker.starts, ['a/1', 'b/1']);
      }));

    test('keeps others out until its own is over', () =>
      withFixture(async fixture => {
        assert.is(await fixture.start('a', 1, 1, undefined, 'brief'), 'done');
        assert.is(await fixture.start('b'), 'capacity-exceeded');
        await fixture.elapse(1_000);
        assert.is(await fixture.start('b'), 'done');
      }));

    test('for long keeps others out for longer', () =>
      withFixture(async fixture => {
        assert.is(await fixture.start('a', 1, 1, undefined, 'long'), 'done');
        await fixture.elapse(5_000);
        fixture.renew(['a']);
        assert.is(await fixture.start('b'), 'capacity-exceeded');
        await fixture.elapse(5_000);
        assert.is(await fixture.start('b'), 'done');
      }));

    test('is reported as lost in isolation', () =>
      withFixture(async fixture => {
        await fixture.start('a', 1, 1, undefined, 'brief');
        fixture.worker.restart();
        await fixture.elapse(REPORT_MILLISECONDS);
        const isolation = 'brief';
        assert.equal(fixture.losses.get('a'), {...EARLY, isolation});
      }));

    test('is not started, and holds no capacity, at a silent worker', () =>
      withFixture(async fixture => {
        fixture.worker.isReachable = false;
        const kind = await fixture.start('a', 1, 4, undefined, 'brief');
        assert.is(kind, 'worker-unreachable');
        fixture.worker.isReachable = true;
        assert.is(await fixture.start('b', 1, 4), 'done');
      }));
  });
});
