import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {InterferencePacePolicy} from './interference_pace_policy.js';
import type {ColocatedRun} from './colocated_run_types.js';

function latencyCritical(headroom: number): ColocatedRun {
  return {
    key: 'serving',
    image: 'web',
    isFilling: false,
    pace: 100,
    progressPercent: 0,
    share: 0,
    fullShare: 0,
    headroom,
  };
}

/** A best-effort run that uses an eighth of the worker at full pace. */
function bestEffort(
  key: string,
  image: string,
  pace = 100,
  progressPercent = 0,
): ColocatedRun {
  const fullShare = 0.125;
  const share = (fullShare * pace) / 100;
  const isFilling = true;
  return {key, image, isFilling, pace, progressPercent, share, fullShare};
}

const INTERFERENCE: Readonly<Record<string, number>> = {
  sort: 8,
  scan: 3,
  copy: 0,
};

function paces(
  ...runs: readonly ColocatedRun[]
): Readonly<Record<string, number>> {
  const policy = new InterferencePacePolicy(
    (_, image) => INTERFERENCE[image] ?? 0,
  );
  return Object.fromEntries(policy.paces(runs));
}

describe('interference pace policy', () => {
  describe('beside a run over its goal', test => {
    test('slows the interfering image and no other', () => {
      const set = paces(
        latencyCritical(0.8),
        bestEffort('s', 'sort'),
        bestEffort('c', 'copy'),
      );
      assert.ok(set['s']! < 100 && set['s']! > 0);
      assert.is(set['c'], undefined);
    });

    test('stops the interfering image when the goal is far missed', () => {
      assert.is(paces(latencyCritical(0.1), bestEffort('s', 'sort'))['s'], 0);
    });

    test('slows every image where none explains the long tail', () => {
      const set = paces(latencyCritical(0.6), bestEffort('c', 'copy'));
      assert.is(set['c'], 25);
    });
  });

  describe('beside a run that keeps its goal', test => {
    test('changes nothing at the target headroom', () => {
      assert.equal(
        paces(latencyCritical(1.3), bestEffort('s', 'sort', 50)),
        {},
      );
    });

    test('raises an image without interference by one step', () => {
      assert.equal(paces(latencyCritical(2), bestEffort('c', 'copy', 25)), {
        c: 65,
      });
    });

    test('raises an interfering image only as far as the goal allows', () => {
      assert.equal(paces(latencyCritical(3), bestEffort('s', 'sort', 25)), {
        s: 65,
      });
      assert.equal(paces(latencyCritical(1.5), bestEffort('s', 'sort', 25)), {
        s: 45,
      });
    });

    test('grants one run full pace rather than slowing all alike', () => {
      const set = paces(
        latencyCritical(1.1),
        bestEffort('s', 'sort', 60),
        bestEffort('t', 'sort', 60),
      );
      assert.equal(set, {s: 100, t: 0});
    });

    test('grants the run with the most progress first', () => {
      const set = paces(
        latencyCritical(1.1),
        bestEffort('s', 'sort', 60, 20),
        bestEffort('t', 'sort', 60, 80),
      );
      assert.equal(set, {s: 0, t: 100});
    });

    test('grants the next run what the first leaves', () => {
      const set = paces(
        latencyCritical(0.8),
        bestEffort('s', 'sort'),
        bestEffort('t', 'sort'),
      );
      assert.equal(set, {t: 50});
    });

    test('leaves precedence to a run that works, unless one is far ahead', () => {
      const working = bestEffort('t', 'sort', 100, 41);
      const stopped = (percent: number) => bestEffort('s', 'sort', 0, percent);
      assert.equal(paces(latencyCritical(1.3), working, stopped(49)), {});
      assert.equal(paces(latencyCritical(1.3), working, stopped(51)), {
        s: 40,
        t: 0,
      });
    });
  });

  describe('without a latency-critical run', test => {
    test('sets every run to full pace', () => {
      assert.equal(paces(bestEffort('s', 'sort', 80)), {s: 100});
    });
  });

  describe('of any runs', test => {
    const anyRun = fc.record({
      image: fc.constantFrom('sort', 'copy', 'scan'),
      pace: fc.integer({min: 0, max: 100}),
      progressPercent: fc.integer({min: 0, max: 100}),
    });
    const anyRuns = fc.array(anyRun, {maxLength: 8});
    const anyHeadroom = fc.double({min: 0.5, max: 4, noNaN: true});

    test('spends no more than there is, and then leaves the paces alone', () => {
      const property = fc.property(anyRuns, anyHeadroom, (drawn, alone) => {
        let runs: readonly ColocatedRun[] = drawn.map(
          ({image, pace, progressPercent}, index) =>
            bestEffort(`${index}`, image, pace, progressPercent),
        );
        for (let round = 0; round < 8; round += 1) runs = paced(runs, alone);
        assert.equal(paced(runs, alone), runs);
        const spare = Math.max(0, alone - 1.3);
        const full = costOf(runs.map(one => ({...one, share: one.fullShare})));
        // Up to 4 percent above the grant is not worth a call, nor is a small
        // contribution.
        const tolerated = 0.045 * full + 0.05 * full * runs.length;
        assert.ok(costOf(runs) <= spare + tolerated);
      });
      fc.assert(property, {seed: 11, numRuns: 300});
    });
  });
});

function costOf(runs: readonly ColocatedRun[]): number {
  return runs.reduce(
    (sum, {image, share}) => sum + share * (INTERFERENCE[image] ?? 0),
    0,
  );
}

/** The runs after one adjustment beside a run that has that headroom alone. */
function paced(runs: readonly ColocatedRun[], alone: number) {
  const set = paces(latencyCritical(alone - costOf(runs)), ...runs);
  return runs.map(({key, image, pace, progressPercent}) =>
    bestEffort(key, image, set[key] ?? pace, progressPercent),
  );
}
