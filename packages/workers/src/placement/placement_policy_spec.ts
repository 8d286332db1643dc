import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {WORKER_VALUES} from '../spec/worker_values.js';
import {InMemoryWorkerIndex} from '../worker_index/in_memory_worker_index.js';
import {BestFitPlacementPolicy} from './best_fit_placement_policy.js';
import {LeastLoadedPlacementPolicy} from './least_loaded_placement_policy.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';
import {RandomPlacementPolicy} from './random_placement_policy.js';
import {RoundRobinPlacementPolicy} from './round_robin_placement_policy.js';

const {announcement, task} = WORKER_VALUES;
const REQUEST: PlacementRequest = {
  task,
  excludedWorkers: new Set(),
  domainsOut: new Set(),
  weights: {tailWeight: 0.5, workWeight: 0.5},
  now: 0,
};

const POLICIES: readonly PlacementPolicy[] = [
  new BestFitPlacementPolicy(),
  new LeastLoadedPlacementPolicy(),
  new RandomPlacementPolicy(() => 0.7),
  new RoundRobinPlacementPolicy(),
];

/** Three workers with 4, 8 and 16 processors, in two failure domains. */
function createIndex(): InMemoryWorkerIndex {
  const index = new InMemoryWorkerIndex();
  for (const processors of [4, 8, 16]) {
    index.recordAnnouncement({
      ...announcement,
      worker: `worker-${processors}`,
      failureDomain: processors === 16 ? 'kinangop' : 'ndaragwa',
      capacity: {...announcement.capacity, processors},
    });
  }
  return index;
}

function place(
  policy: PlacementPolicy,
  change: Partial<PlacementRequest>,
  index = createIndex(),
): string | undefined {
  const chosen = policy.place({...REQUEST, ...change}, index);
  return chosen?.announcement.worker;
}

function demanding(processors: number, accelerators = 0) {
  const resources = {...task.resources, processors, accelerators};
  return {task: {...task, resources}};
}

describe('placement', () => {
  for (const policy of POLICIES) {
    describe(policy.constructor.name, test => {
      test('uses the only worker with enough free capacity', () => {
        assert.is(place(policy, demanding(12)), 'worker-16');
      });

      test('uses no worker without enough free capacity', () => {
        assert.is(place(policy, demanding(17)), undefined);
        assert.is(place(policy, demanding(1, 1)), undefined);
      });

      test('uses no worker of a failure domain out of service', () => {
        const domainsOut = new Set(['kinangop']);
        assert.is(place(policy, {...demanding(6), domainsOut}), 'worker-8');
      });

      test('uses no excluded worker', () => {
        const excludedWorkers = new Set(['worker-16']);
        const change = {...demanding(6), excludedWorkers};
        assert.is(place(policy, change), 'worker-8');
      });

      test('uses no draining or removed worker', () => {
        const index = createIndex();
        const known = index.get('worker-16')!.announcement;
        index.recordAnnouncement({...known, draining: true});
        index.remove('worker-8');
        assert.is(place(policy, demanding(2), index), 'worker-4');
      });

      test('counts placements that no load report includes yet', () => {
        const index = createIndex();
        index.recordPlacement('worker-16', demanding(10).task);
        assert.is(place(policy, demanding(12), index), undefined);
        index.recordEnding('worker-16', demanding(10).task);
        assert.is(place(policy, demanding(12), index), 'worker-16');
      });
    });
  }

  describe('choice', test => {
    test('best fit takes the worker with the fewest free processors', () => {
      assert.is(place(new BestFitPlacementPolicy(), {}), 'worker-4');
    });

    test('least loaded takes the worker with the most free processors', () => {
      assert.is(place(new LeastLoadedPlacementPolicy(), {}), 'worker-16');
    });

    test('round robin takes each worker in turn', () => {
      const policy = new RoundRobinPlacementPolicy();
      const index = createIndex();
      const names = [1, 2, 3].map(() => place(policy, {}, index));
      assert.is(new Set(names).size, 3);
    });
  });
});
