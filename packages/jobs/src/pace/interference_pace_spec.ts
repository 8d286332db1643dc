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
    share: 0,
    fullShare: 0,
    headroom,
  };
}

/** A best-effort run that uses an eighth of the worker at full pace. */
function bestEffort(key: string, image: string, pace = 100): ColocatedRun {
  const fullShare = 0.125;
  const share = (fullShare * pace) / 100;
  return {key, image, isFilling: true, pace, share, fullShare};
}

const INTERFERENCE: Readonly<Record<string, number>> = {sort: 8, copy: 0};

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

    test('slows all by their interference together', () => {
      const set = paces(
        latencyCritical(1.1),
        bestEffort('s', 'sort', 60),
        bestEffort('t', 'sort', 60),
      );
      assert.equal(set, {s: 50, t: 50});
    });
  });

  describe('without a latency-critical run', test => {
    test('sets every run to full pace', () => {
      assert.equal(paces(bestEffort('s', 'sort', 80)), {s: 100});
    });
  });
});
