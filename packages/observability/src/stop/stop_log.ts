import type {Clock} from '@chicoryspring/contracts';
import type {StateChange} from '../state_log/state_change_types.js';
import type {StateLog} from '../state_log/state_log_types.js';

/** Logs each step of a stop with the time left until its deadline. */
export class StopLog {
  constructor(
    private readonly log: StateLog,
    private readonly clock: Clock,
    private readonly deadline: number,
  ) {}

  /** Logs that a step has ended. */
  step(step: string, fields: StateChange = {}): void {
    const leftMilliseconds = Math.round(this.deadline - this.clock.now());
    this.log.change('stop step', {step, leftMilliseconds, ...fields});
  }
}
