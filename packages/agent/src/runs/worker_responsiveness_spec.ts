import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {WorkerResponsiveness} from './worker_responsiveness.js';

describe('worker responsiveness', () => {
  describe('after refused connections', test => {
    test('shows an exit at the third in a row', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 3; count += 1) responsiveness.recordRefusal();
      assert.is(responsiveness.hasExited, true);
    });

    test('shows no exit if other failures lie between them', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 3; count += 1) {
        responsiveness.recordRefusal();
        responsiveness.recordFailure();
      }
      assert.is(responsiveness.hasExited, false);
    });
  });
});
