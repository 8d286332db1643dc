import {
  createMachine,
  interpret,
  type Machine,
  type MachineState,
} from 'robot3';
import {ChicoryspringError} from '../errors/chicoryspring_error.js';

type StatesByName = Readonly<Record<string, MachineState<string>>>;

/**
 * Advances a stored state with a robot3 state machine.
 *
 * The state of a durable object is a plain value in its record. The machine
 * defines which events a state accepts and to which state they lead.
 */
export class Lifecycle<State extends string, Event extends string> {
  constructor(private readonly machine: Machine) {}

  /** Returns the next state; throws if the state does not accept the event. */
  advance(current: State, event: Event): State {
    const next = this.tryAdvance(current, event);
    if (next !== undefined) return next;
    throw new ChicoryspringError(
      'stale-epoch',
      `state ${current} does not accept event ${event}`,
    );
  }

  /** Returns the next state; undefined if the state rejects the event. */
  tryAdvance(current: State, event: Event): State | undefined {
    const states: StatesByName = this.machine.states;
    const machine = createMachine<StatesByName>(current, states);
    const service = interpret(machine, () => undefined);
    service.send(event);
    const next = service.machine.current as State;
    return next === current ? undefined : next;
  }
}
