import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {taskLifecycle} from './task_lifecycle.js';
import type {TaskEvent} from './task_event_types.js';
import type {TaskState} from './task_state_types.js';

interface Step {
  readonly from: TaskState;
  readonly event: TaskEvent;
  readonly to: TaskState | undefined;
}

const STEPS: readonly Step[] = [
  {from: 'waiting', event: 'place', to: 'starting'},
  {from: 'starting', event: 'started', to: 'running'},
  {from: 'starting', event: 'place', to: undefined},
  {from: 'running', event: 'place', to: undefined},
  {from: 'running', event: 'evict', to: 'stopping'},
  {from: 'stopping', event: 'place', to: undefined},
  {from: 'stopping', event: 'stopped', to: 'waiting'},
  {from: 'finished', event: 'cancel', to: undefined},
  {from: 'cancelled', event: 'place', to: undefined},
];

describe('task', () => {
  describe('lifecycle', test => {
    for (const step of STEPS) {
      test(`${step.from} on ${step.event} gives ${step.to}`, () => {
        assert.is(taskLifecycle.tryAdvance(step.from, step.event), step.to);
      });
    }

    test('an event that the state does not accept is an error', () => {
      assert.throws(() => taskLifecycle.advance('finished', 'place'));
    });
  });
});
