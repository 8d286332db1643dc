import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {InterferencePacePolicy} from './interference_pace_policy.js';
import type {ColocatedRun} from './colocated_run_types.js';

function serving(headroom: number): ColocatedRun {
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

/** A filling run that uses an eighth of the worker at full pace. */
function filling(key: string, image: string, pace = 100): ColocatedRun {
  const fullShare = 0.125;
  const share = (fullShare * pace) / 100;
  return {key, image, isFilling: true, pace, share, fullShare};
}

const HARMS: Readonly<Record<string, number>> = {sort: 8, copy: 0};

function paces(
  ...runs: readonly ColocatedRun[]
): Readonly<Record<string, number>> {
  const policy = new InterferencePacePolicy((_, image) => HARMS[image] ?? 0);
  return Object.fromEntries(policy.paces(runs));
}

describe('harm pace policy', () => {
  describe('beside a run over its goal', test => {
    test('slows the image that harms and no other', () => {
      const set = paces(
        serving(0.8),
        filling('s', 'sort'),
        filling('c', 'copy'),
      );
      assert.ok(set['s']! < 100 && set['s']! > 0);
      assert.is(set['c'], undefined);
    });

    test('stops the image that harms when the tail is far over', () => {
      assert.is(paces(serving(0.1), filling('s', 'sort'))['s'], 0);
    });

    test('slows every image where none explains it', () => {
      const set = paces(serving(0.6), filling('c', 'copy'));
      assert.is(set['c'], 25);
    });
  });

  describe('beside a run that keeps its goal', test => {
    test('changes nothing at the headroom that it should keep', () => {
      assert.equal(paces(serving(1.3), filling('s', 'sort', 50)), {});
    });

    test('raises a harmless image by a step', () => {
      assert.equal(paces(serving(2), filling('c', 'copy', 25)), {c: 65});
    });

    test('raises a harmful image only as far as the goal allows', () => {
      assert.equal(paces(serving(3), filling('s', 'sort', 25)), {s: 65});
      assert.equal(paces(serving(1.5), filling('s', 'sort', 25)), {s: 45});
    });

    test('slows what all of them together would take', () => {
      const set = paces(
        serving(1.1),
        filling('s', 'sort', 60),
        filling('t', 'sort', 60),
      );
      assert.equal(set, {s: 50, t: 50});
    });
  });

  describe('beside nothing that serves', test => {
    test('lets everything work at full pace', () => {
      assert.equal(paces(filling('s', 'sort', 80)), {s: 100});
    });
  });
});
