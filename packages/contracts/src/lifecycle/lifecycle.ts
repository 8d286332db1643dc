import {
  createMachine,
  interpret,
  type Machine,
  type MachineState,
} from 'robot3';
import {ChicoryspringError} from '../errors/chicoryspring_error.js';

type StatesByName = Readonly<Record<string, MachineState<string>>>;

/**
 * Advances a stored state by a robot3 machine.
 *
 * The state of a durable object is a plain value in its record; the machine
 * says which events it takes and where they lead.
 */
export class Lifecycle<State extends string, Event extends string> {
  constructor(private readonly machine: Machine) {}

  /** The next state, or an error when the state does not take the event. */
  advance(current: State, event: Event): State {
    const next = this.tryAdvance(current, event);
    if (next !== undefined) return next;
    throw new ChicoryspringError(
      'stale-epoch',
      `state ${current} does not take event ${event}`,
    );
  }

  /** The next state, or undefined when the state does not take the event. */
  tryAdvance(current: State, event: Event): State | undefined {
    const states: StatesByName = this.machine.states;
    const machine = createMachine<StatesByName>(current, states);
    const service = interpret(machine, () => undefined);
    service.send(event);
    const next = service.machine.current as State;
    return next === current ? undefined : next;
  }
}
