import {createMachine, state, transition} from 'robot3';

const STATES = {
  starting: state(
    transition('started', 'running'),
    transition('reply-lost', 'uncertain'),
    transition('end', 'ended'),
  ),
  running: state(transition('end', 'ended')),
  uncertain: state(transition('end', 'ended')),
  ended: state(),
};

/** Lifecycle of a managed task, until its ending is acknowledged. */
export const managedTaskMachine = createMachine('starting', STATES);
