import {createMachine, state, transition} from 'robot3';

const STATES = {
  waiting: state(
    transition('place', 'starting'),
    transition('cancel', 'cancelled'),
    transition('fail', 'failed'),
  ),
  starting: state(
    transition('started', 'running'),
    transition('refused', 'waiting'),
    transition('evict', 'stopping'),
    transition('stopped', 'waiting'),
    transition('finish', 'finished'),
    transition('fail', 'failed'),
    transition('cancel', 'cancelling'),
  ),
  running: state(
    transition('evict', 'stopping'),
    transition('stopped', 'waiting'),
    transition('finish', 'finished'),
    transition('fail', 'failed'),
    transition('cancel', 'cancelling'),
  ),
  stopping: state(
    transition('stopped', 'waiting'),
    transition('finish', 'finished'),
    transition('fail', 'failed'),
    transition('cancel', 'cancelling'),
  ),
  cancelling: state(
    transition('stopped', 'cancelled'),
    transition('finish', 'finished'),
    transition('fail', 'cancelled'),
  ),
  finished: state(),
  failed: state(),
  cancelled: state(),
};

/** State machine of a task; the owner of its shard advances it. */
export const taskMachine = createMachine('waiting', STATES);
