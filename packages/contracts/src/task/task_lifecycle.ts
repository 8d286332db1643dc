import {Lifecycle} from '../lifecycle/lifecycle.js';
import type {TaskEvent} from './task_event_types.js';
import {taskMachine} from './task_machine.js';
import type {TaskState} from './task_state_types.js';

/** Advances the state of a task. */
export const taskLifecycle = new Lifecycle<TaskState, TaskEvent>(taskMachine);
