import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {WorkerHealthTracker} from './worker_health_tracker.js';

const FLEET = 11;
const EJECTED_MILLISECONDS = 30_000;

function fail(
  health: WorkerHealthTracker,
  worker: string,
  tasks: readonly string[],
  now = 0,
): void {
  for (const task of tasks) health.recordFailure(worker, task, now, FLEET);
}

function excluded(health: WorkerHealthTracker, now: number): readonly string[] {
  return [...health.excluded(now)].sort();
}

describe('worker health', () => {
  describe('ejection', test => {
    test('ejects a worker on which three different tasks fail', () => {
      const health = new WorkerHealthTracker();
      fail(health, 'bad', ['a', 'b']);
      assert.equal(excluded(health, 1), []);
      fail(health, 'bad', ['c']);
      assert.equal(excluded(health, 1), ['bad']);
      assert.not(health.isHealthy('bad'));
    });

    test('counts a task that fails repeatedly once', () => {
      const health = new WorkerHealthTracker();
      fail(health, 'good', ['a', 'a', 'a', 'a']);
      assert.equal(excluded(health, 1), []);
    });

    test('a success clears the failures', () => {
      const health = new WorkerHealthTracker();
      fail(health, 'good', ['a', 'b']);
      health.recordSuccess('good');
      fail(health, 'good', ['c']);
      assert.equal(excluded(health, 1), []);
    });

    test('ejects no worker if all fail equally often', () => {
      const health = new WorkerHealthTracker();
      for (const task of ['a', 'b', 'c', 'd']) {
        for (let worker = 0; worker < FLEET; worker += 1) {
          fail(health, `worker-${worker}`, [task]);
        }
      }
      assert.equal(excluded(health, 1), []);
    });

    test('ejects at most a fifth of the workers', () => {
      const health = new WorkerHealthTracker();
      for (const worker of ['w1', 'w2', 'w3', 'w4']) {
        fail(health, worker, ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']);
      }
      assert.equal(excluded(health, 1).length, 2);
    });
  });

  describe('probe', test => {
    const probed = (): WorkerHealthTracker => {
      const health = new WorkerHealthTracker();
      fail(health, 'bad', ['a', 'b', 'c']);
      health.recordStart('bad', EJECTED_MILLISECONDS);
      return health;
    };

    test('allows one task at a time on the worker', () => {
      const health = probed();
      assert.equal(excluded(health, EJECTED_MILLISECONDS), ['bad']);
    });

    test('that finishes makes the worker healthy', () => {
      const health = probed();
      health.recordSuccess('bad');
      assert.equal(excluded(health, EJECTED_MILLISECONDS), []);
      assert.ok(health.isHealthy('bad'));
    });

    test('that fails ejects the worker for twice as long', () => {
      const health = probed();
      fail(health, 'bad', ['d'], EJECTED_MILLISECONDS);
      const end = 3 * EJECTED_MILLISECONDS;
      assert.equal(excluded(health, end - 1), ['bad']);
      assert.equal(excluded(health, end), []);
    });

    test('that runs long enough makes the worker healthy', () => {
      const health = probed();
      health.recordStart('bad', 2 * EJECTED_MILLISECONDS);
      assert.equal(excluded(health, 2 * EJECTED_MILLISECONDS), []);
      assert.ok(health.isHealthy('bad'));
    });
  });
});
