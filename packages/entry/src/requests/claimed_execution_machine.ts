import {createMachine, state, transition} from 'robot3';

const STATES = {
  claiming: state(
    transition('dispatch', 'dispatched'),
    transition('give-up', 'ended'),
  ),
  dispatched: state(transition('end', 'ended')),
  ended: state(),
};

/** Lifecycle of a claimed execution; nothing runs before `dispatched`. */
export const claimedExecutionMachine = createMachine('claiming', STATES);
