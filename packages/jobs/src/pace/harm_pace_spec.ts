import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {HarmPacePolicy} from './harm_pace_policy.js';
import type {PaceRun} from './pace_run_types.js';

function serving(measure: number): PaceRun {
  return {
    key: 'serving',
    image: 'web',
    isFilling: false,
    pace: 100,
    processors: 3,
    goalMilliseconds: 18,
    measure,
  };
}

function filling(key: string, image: string, pace = 100): PaceRun {
  const processors = 2;
  const measure = (processors * pace) / 100;
  return {key, image, isFilling: true, pace, processors, measure};
}

const HARMS: Readonly<Record<string, number>> = {sort: 0.5, copy: 0};

function paces(...runs: readonly PaceRun[]): Readonly<Record<string, number>> {
  const policy = new HarmPacePolicy((_, image) => HARMS[image] ?? 0);
  return Object.fromEntries(policy.paces(runs));
}

describe('harm pace policy', () => {
  describe('beside a run over its goal', test => {
    test('slows the image that harms and no other', () => {
      const set = paces(
        serving(22),
        filling('s', 'sort'),
        filling('c', 'copy'),
      );
      assert.ok(set['s']! < 100 && set['s']! > 0);
      assert.is(set['c'], undefined);
    });

    test('stops the image that harms when the tail is far over', () => {
      assert.is(paces(serving(200), filling('s', 'sort'))['s'], 0);
    });

    test('slows every image where none explains it', () => {
      const set = paces(serving(30), filling('c', 'copy'));
      assert.is(set['c'], 25);
    });
  });

  describe('beside a run that keeps its goal', test => {
    test('changes nothing near the goal', () => {
      assert.equal(paces(serving(14), filling('s', 'sort', 50)), {});
    });

    test('raises a harmless image by a step', () => {
      assert.equal(paces(serving(8), filling('c', 'copy', 25)), {c: 50});
    });

    test('raises a harmful image only as far as the goal allows', () => {
      assert.equal(paces(serving(6), filling('s', 'sort', 25)), {s: 50});
      assert.equal(paces(serving(11), filling('s', 'sort', 25)), {});
    });
  });

  describe('beside nothing that serves', test => {
    test('lets everything work at full pace', () => {
      assert.equal(paces(filling('s', 'sort', 80)), {s: 100});
    });
  });
});
