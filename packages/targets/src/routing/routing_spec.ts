import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {Target} from '../target/target_types.js';
import {LatencyTracker} from '../latency/latency_tracker.js';
import {PowerOfChoicesRoutingPolicy} from './power_of_choices_routing_policy.js';
import {ROUTING_POLICY_REGISTRY} from './routing_policy_registry.js';
import type {RoutingPolicyName} from './routing_policy_name_types.js';

const LOCAL = 'kinangop';
const DRAWS = 64;
const DECISIONS = 100;

type Change = Partial<Target>;

function target(worker: string, change: Change): Target {
  return {
    worker,
    service: 'records',
    failureDomain: LOCAL,
    slots: 8,
    requestsInFlight: 0,
    reportedInFlight: 0,
    tailMilliseconds: 0,
    concurrencyLimit: 8,
    latencyMilliseconds: 10,
    ...change,
  };
}

/** Creates a deterministic sequence spread evenly over the unit interval. */
function evenSequence(): () => number {
  let drawn = 0;
  return () => {
    drawn += 1;
    return (drawn * 0.618034) % 1;
  };
}

describe('routing', () => {
  describe('by the power of choices', test => {
    const other = 'ndaragwa';
    const CASES: readonly {
      readonly what: string;
      readonly first: Change;
      readonly second: Change;
      readonly chosen: 'first' | 'second';
    }[] = [
      {
        what: 'quicker',
        first: {latencyMilliseconds: 20},
        second: {},
        chosen: 'second',
      },
      {
        what: 'less loaded',
        first: {requestsInFlight: 4},
        second: {},
        chosen: 'second',
      },
      {
        what: 'less loaded by others',
        first: {reportedInFlight: 4},
        second: {},
        chosen: 'second',
      },
      {
        what: 'local',
        first: {latencyMilliseconds: 11},
        second: {failureDomain: other},
        chosen: 'first',
      },
      {
        what: 'remote and idle while the local one has a queue',
        first: {requestsInFlight: 6},
        second: {failureDomain: other},
        chosen: 'second',
      },
      {
        what: 'unknown and idle',
        first: {},
        second: {latencyMilliseconds: undefined},
        chosen: 'second',
      },
      {
        what: 'known while the unknown one has a request in flight',
        first: {requestsInFlight: 8},
        second: {latencyMilliseconds: undefined, requestsInFlight: 1},
        chosen: 'first',
      },
    ];
    for (const {what, first, second, chosen} of CASES) {
      test(`takes the one that is ${what}`, () => {
        const policy = new PowerOfChoicesRoutingPolicy(evenSequence(), DRAWS);
        const targets = [target('first', first), target('second', second)];
        assert.is(policy.choose(targets, LOCAL)?.worker, chosen);
      });
    }
  });

  describe('by each policy', () => {
    const names = Object.keys(
      ROUTING_POLICY_REGISTRY,
    ) as readonly RoutingPolicyName[];
    for (const name of names) {
      describe(name, test => {
        test('chooses no target of none, and each of the given targets', () => {
          const policy = ROUTING_POLICY_REGISTRY[name](evenSequence());
          assert.is(policy.choose([], LOCAL), undefined);
          const targets = ['a', 'b', 'c'].map(worker => target(worker, {}));
          const workers = new Set(
            Array.from(
              {length: DECISIONS},
              () => policy.choose(targets, LOCAL)!.worker,
            ),
          );
          assert.equal([...workers].sort(), ['a', 'b', 'c']);
        });
      });
    }
  });

  describe('latency', test => {
    test('weights an old answer less and expires', () => {
      const tracker = new LatencyTracker();
      assert.is(tracker.latencyAt(0), undefined);
      tracker.record(10, 0);
      tracker.record(100, 500);
      assert.is(tracker.latencyAt(500), 70);
      assert.is(tracker.latencyAt(2_499), 70);
      assert.is(tracker.latencyAt(2_500), undefined);
    });
  });
});
