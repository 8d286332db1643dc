import * as assert from 'uvu/assert';
import type {Task} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {InterferenceEstimate} from '../interference/interference_estimate_types.js';
import {serviceClassOf} from '../interference/service_class.js';
import {WORKER_VALUES} from '../spec/worker_values.js';
import {TaskSpread} from '../spread/task_spread.js';
import {ClassUsageTracker} from '../usage/class_usage_tracker.js';
import {InMemoryWorkerIndex} from '../worker_index/in_memory_worker_index.js';
import {ColocationCost} from './colocation_cost.js';
import {ColocationPlacementPolicy} from './colocation_placement_policy.js';

const {announcement, task} = WORKER_VALUES;
const SECOND_MILLISECONDS = 1_000;
const DECISIONS = 200;

/** Interference by `affected/other`; any other pair has none. */
type Estimates = Readonly<Record<string, InterferenceEstimate>>;

class PlacementFixture {
  readonly index = new InMemoryWorkerIndex();
  readonly usage = new ClassUsageTracker();
  readonly spread = new TaskSpread();
  readonly policy: ColocationPlacementPolicy;
  private drawn = 0;

  constructor(estimates: Estimates = {}) {
    const unknown = {interference: 0, deviation: 0};
    const estimate = (affected: string, other: string) =>
      estimates[`${affected}/${other}`] ?? unknown;
    const cost = new ColocationCost({estimate}, this.usage, this.spread);
    this.policy = new ColocationPlacementPolicy(cost, () => this.draw());
  }

  add(worker: string, failureDomain = 'kinangop', service = 'records'): void {
    this.index.recordAnnouncement({
      ...announcement,
      worker,
      failureDomain,
      service,
    });
  }

  addTask(worker: string, taskClass: string): void {
    const placed = {...task, id: `${worker}/${taskClass}`, taskClass};
    this.index.recordPlacement(worker, placed);
  }

  place(now = 0, domainsOut: readonly string[] = [], placed: Task = task) {
    const request = {
      task: placed,
      excludedWorkers: new Set<string>(),
      domainsOut: new Set(domainsOut),
      weights: {tailWeight: 0.5, workWeight: 0.5},
      now,
    };
    return this.policy.place(request, this.index)?.announcement;
  }

  /** Returns numbers spread evenly over the unit interval. */
  private draw(): number {
    this.drawn += 1;
    return (this.drawn * 0.618034) % 1;
  }
}

describe('colocation placement', () => {
  describe('interference', test => {
    test('chooses the service with less interference', () => {
      const interference = {interference: 0.4, deviation: 0};
      const pair = `${serviceClassOf('records')}/${task.taskClass}`;
      const fixture = new PlacementFixture({[pair]: interference});
      fixture.add('worker-1');
      fixture.add('worker-2', 'kinangop', 'catalogue');
      assert.is(fixture.place()?.worker, 'worker-2');
    });

    test('avoids tasks with interference in either direction', () => {
      for (const pair of ['noisy/reconcile', 'reconcile/noisy']) {
        const fixture = new PlacementFixture({
          [pair]: {interference: 0.3, deviation: 0},
        });
        fixture.add('worker-1');
        fixture.add('worker-2');
        fixture.addTask('worker-1', 'noisy');
        assert.is(fixture.place()?.worker, 'worker-2');
      }
    });

    test('places an unknown pair where it runs already', () => {
      const unknown = {interference: 0.01, deviation: 0.4};
      const pair = `${serviceClassOf('records')}/${task.taskClass}`;
      const fixture = new PlacementFixture({[pair]: unknown});
      for (const name of ['worker-1', 'worker-2', 'worker-3'])
        fixture.add(name);
      fixture.addTask('worker-2', task.taskClass);
      assert.is(fixture.place()?.worker, 'worker-2');
    });
  });

  describe('measured usage', test => {
    test('avoids a worker that uses more than declared', () => {
      const fixture = new PlacementFixture();
      fixture.add('worker-1');
      fixture.add('worker-2');
      fixture.addTask('worker-1', 'understated');
      fixture.usage.recordLoad([
        {
          taskClass: 'understated',
          tasks: 1,
          usedProcessors: 16,
          declaredProcessors: 2,
          pace: 1,
        },
      ]);
      assert.is(fixture.place()?.worker, 'worker-2');
    });

    test('never exceeds the free capacity by declared demand', () => {
      const fixture = new PlacementFixture();
      fixture.add('worker-1');
      const resources = {...task.resources, processors: 17};
      assert.is(fixture.place(0, [], {...task, resources}), undefined);
    });
  });

  describe('spread', test => {
    test('spreads tasks of one caller and class over failure domains', () => {
      const fixture = new PlacementFixture();
      fixture.add('worker-1');
      fixture.add('worker-2', 'ndaragwa');
      fixture.spread.add({...task, id: 'other'}, announcement);
      assert.is(fixture.place()?.failureDomain, 'ndaragwa');
      fixture.spread.remove('other');
      assert.equal(
        fixture.spread.countMatching(task, announcement).inFailureDomain,
        0,
      );
    });
  });

  describe('a failure domain that returns', () => {
    const shares = [
      {seconds: 0, least: 0, most: 0},
      {seconds: 15, least: 0.3, most: 0.7},
      {seconds: 31, least: 1, most: 1},
    ];
    describe('ramps up to its share', test => {
      for (const {seconds, least, most} of shares) {
        test(`after ${seconds} s`, () => {
          const fixture = new PlacementFixture({
            'reconcile/noisy': {interference: 0.3, deviation: 0},
          });
          fixture.add('worker-1');
          fixture.add('worker-2', 'ndaragwa');
          fixture.addTask('worker-1', 'noisy');
          fixture.place(0, ['ndaragwa']);
          const now = seconds * SECOND_MILLISECONDS;
          let returned = 0;
          for (let count = 0; count < DECISIONS; count += 1) {
            if (fixture.place(now)?.worker === 'worker-2') returned += 1;
          }
          const share = returned / DECISIONS;
          assert.ok(least <= share && share <= most, String(share));
        });
      }
    });

    describe('when no other worker has free capacity', test => {
      test('receives tasks at once', () => {
        const fixture = new PlacementFixture();
        fixture.add('worker-2', 'ndaragwa');
        assert.is(fixture.place(0, ['ndaragwa']), undefined);
        assert.is(fixture.place(1)?.worker, 'worker-2');
      });
    });
  });
});
