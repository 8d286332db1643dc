import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {WorkerResponsiveness} from './worker_responsiveness.js';

describe('worker responsiveness', () => {
  describe('after refused connections', test => {
    test('offers the worker for no new run from the third in a row on', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 2; count += 1) responsiveness.recordRefusal();
      assert.is(responsiveness.isAvailable, true);
      responsiveness.recordRefusal();
      assert.is(responsiveness.isAvailable, false);
    });

    test('takes them for no sign that the worker has ended', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 9; count += 1) responsiveness.recordRefusal();
      assert.is(responsiveness.isUnresponsive, false);
      assert.is(responsiveness.isReplaced, false);
    });

    test('offers it again once it answers', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 3; count += 1) responsiveness.recordRefusal();
      responsiveness.recordAnswer();
      assert.is(responsiveness.isAvailable, true);
    });

    test('counts them anew if other failures lie between them', () => {
      const responsiveness = new WorkerResponsiveness(new ManualClock());
      for (let count = 0; count < 3; count += 1) {
        responsiveness.recordRefusal();
        responsiveness.recordFailure();
      }
      assert.is(responsiveness.isAvailable, true);
    });
  });
});
