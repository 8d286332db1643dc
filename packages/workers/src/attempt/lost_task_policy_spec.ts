import * as assert from 'uvu/assert';
import type {IsolationLength} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {LostTaskPolicy} from './lost_task_policy.js';

const policy = new LostTaskPolicy();

const ISOLATIONS: readonly {
  readonly inProbation: number;
  readonly afterProbation: number;
  readonly isolation: IsolationLength | undefined;
}[] = [
  {inProbation: 0, afterProbation: 0, isolation: undefined},
  {inProbation: 1, afterProbation: 0, isolation: 'brief'},
  {inProbation: 0, afterProbation: 2, isolation: undefined},
  {inProbation: 0, afterProbation: 3, isolation: 'long'},
  {inProbation: 1, afterProbation: 3, isolation: 'long'},
];

describe('lost task policy', () => {
  describe('isolation', test => {
    for (const {isolation, ...losses} of ISOLATIONS) {
      const {inProbation, afterProbation} = losses;
      test(`after ${inProbation} losses in and ${afterProbation} after the probation: ${isolation}`, () => {
        assert.is(policy.isolationOf(losses), isolation);
      });
    }

    test('of a task that was never lost is none', () => {
      assert.is(policy.isolationOf(), undefined);
    });
  });

  describe('conviction', test => {
    const once = {inProbation: 1, afterProbation: 0};
    const inProbation = {isInProbation: true};

    test('takes a second loss', () => {
      const isolated = {...inProbation, isolation: 'long' as const};
      const none = {inProbation: 0, afterProbation: 3};
      assert.is(policy.decide(none, isolated).decision, 'retry');
    });

    test('takes isolation in the second one', () => {
      assert.is(policy.decide(once, inProbation).decision, 'retry');
      const isolated = {...inProbation, isolation: 'brief' as const};
      assert.is(policy.decide(once, isolated).decision, 'quarantine');
    });
  });

  describe('a worker that survives an isolated task', test => {
    const suspect = {inProbation: 1, afterProbation: 3};

    test('clears it of crashes in its probation', () => {
      const loss = {isInProbation: false, isolation: 'brief' as const};
      const {losses, decision} = policy.decide(suspect, loss);
      assert.is(decision, 'retry');
      assert.equal(losses, {inProbation: 0, afterProbation: 4});
    });

    test('for long clears it of later ones too', () => {
      const loss = {isInProbation: false, isolation: 'long' as const};
      const {losses, decision} = policy.decide(suspect, loss);
      assert.is(decision, 'retry');
      assert.equal(losses, {inProbation: 0, afterProbation: 1});
    });
  });
});
