import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {AverageInterferenceLearner} from './average_interference_learner.js';
import {DecayingInterferenceLearner} from './decaying_interference_learner.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';
import {ConstantInterferenceLearner} from './constant_interference_learner.js';

const SEED = 20261204;
const REPORT_INTERVAL_MILLISECONDS = 2_000;
const HOUR_MILLISECONDS = 3_600_000;

const LEARNERS: readonly (() => InterferenceLearner)[] = [
  () => new ConstantInterferenceLearner(),
  () => new AverageInterferenceLearner(),
  () => new DecayingInterferenceLearner(),
];

/** Observes that two `noisy` tasks slow `records` by the given amount each. */
function report(
  learner: InterferenceLearner,
  addedSlowdown: number,
  reports: number,
  start = 0,
): number {
  for (let count = 0; count < reports; count += 1) {
    learner.observe({
      affected: 'records',
      others: [{taskClass: 'noisy', tasks: 2}],
      slowdown: 1 + 2 * addedSlowdown,
      measuredAt: start + count * REPORT_INTERVAL_MILLISECONDS,
    });
  }
  return start + reports * REPORT_INTERVAL_MILLISECONDS;
}

function assertNear(actual: number, expected: number): void {
  assert.ok(Math.abs(actual - expected) < 0.02, `${actual} is ${expected}`);
}

describe('interference', () => {
  for (const create of LEARNERS) {
    describe(create().constructor.name, test => {
      test('returns the prior for an unknown pair', () => {
        const learner = create();
        report(learner, 0.4, 20);
        const reversed = learner.estimate('noisy', 'records', 0);
        assert.equal(reversed.interference, INTERFERENCE_PRIOR.interference);
      });
    });
  }

  describe('with decay', test => {
    test('derives the interference of one task from that of two', () => {
      const learner = new DecayingInterferenceLearner();
      const now = report(learner, 0.4, 50);
      assertNear(learner.estimate('records', 'noisy', now).interference, 0.4);
    });

    test('distinguishes the interfering class from a harmless one', () => {
      const learner = new DecayingInterferenceLearner();
      for (let count = 0; count < 200; count += 1) {
        const [noisy, quiet] = [count % 3, count % 2];
        const others = [
          {taskClass: 'noisy', tasks: noisy},
          {taskClass: 'quiet', tasks: quiet},
        ];
        const slowdown = 1 + 0.5 * noisy;
        const measuredAt = count * REPORT_INTERVAL_MILLISECONDS;
        learner.observe({affected: 'records', others, slowdown, measuredAt});
      }
      assertNear(learner.estimate('records', 'noisy', 0).interference, 0.5);
      assertNear(learner.estimate('records', 'quiet', 0).interference, 0);
    });

    test('follows a load shift', () => {
      const learner = new DecayingInterferenceLearner();
      const shifted = report(learner, 0.1, 300);
      const now = report(learner, 0.6, 60, shifted);
      assertNear(learner.estimate('records', 'noisy', now).interference, 0.6);
    });

    test('lowers the deviation with reports and raises it without', () => {
      const learner = new DecayingInterferenceLearner();
      const unknown = learner.estimate('records', 'noisy', 0).deviation;
      const now = report(learner, 0.4, 50);
      const known = learner.estimate('records', 'noisy', now).deviation;
      const later = now + HOUR_MILLISECONDS;
      const forgotten = learner.estimate('records', 'noisy', later).deviation;
      assert.ok(known < unknown / 4);
      assert.ok(forgotten > unknown * 0.9);
    });

    test('keeps estimates valid for any reports in any order', () => {
      const observation = fastCheck.record({
        affected: fastCheck.constantFrom('a', 'b'),
        others: fastCheck.array(
          fastCheck.record({
            taskClass: fastCheck.constantFrom('a', 'b', 'c'),
            tasks: fastCheck.nat({max: 30}),
          }),
        ),
        slowdown: fastCheck.double({min: 1, max: 100, noNaN: true}),
        measuredAt: fastCheck.nat({max: HOUR_MILLISECONDS}),
      });
      const property = fastCheck.property(
        fastCheck.array(observation),
        observations => {
          const learner = new DecayingInterferenceLearner();
          for (const one of observations) learner.observe(one);
          const {interference, deviation} = learner.estimate('a', 'b', 0);
          return (
            interference >= 0 && deviation >= 0 && Number.isFinite(interference)
          );
        },
      );
      fastCheck.assert(property, {seed: SEED, numRuns: 300});
    });
  });
});
