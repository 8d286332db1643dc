import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {HeadroomBudget} from './headroom_budget.js';

/** Spare headroom of 0.5 of a run that `sort` and `scan` interfere with. */
function budget(toleratedCost = 0): HeadroomBudget {
  const interference = new Map([
    ['sort', 4],
    ['scan', 1],
  ]);
  return new HeadroomBudget(
    [{image: 'web', headroom: 0.5, toleratedCost}],
    (_, image) => interference.get(image) ?? 0,
  );
}

describe('headroom budget', () => {
  describe('of one worker', test => {
    test('allows full pace to a run that costs no more than it has', () => {
      assert.is(budget().paceOf({image: 'sort', fullShare: 0.125}), 100);
      assert.is(budget().paceOf({image: 'copy', fullShare: 1}), 100);
    });

    test('allows a run that costs more the pace that it can spare', () => {
      assert.is(budget().paceOf({image: 'sort', fullShare: 0.25}), 50);
    });

    test('allows full pace where the cost is tolerated', () => {
      assert.is(budget(1).paceOf({image: 'sort', fullShare: 0.25}), 100);
    });

    test('is smaller after a grant, but never below nothing', () => {
      const run = {image: 'sort', fullShare: 0.25};
      assert.is(budget().granting(run, 25).paceOf(run), 25);
      assert.is(budget().granting(run, 100).paceOf(run), 0);
      const small = {image: 'scan', fullShare: 0.25};
      assert.is(budget().granting(run, 25).paceOf(small), 100);
    });
  });
});
