import type {StateChange} from './state_change_types.js';
import type {StateLog} from './state_log_types.js';

/** Writes JSON lines itself, where the memory of a library is too much. */
export class LineStateLog implements StateLog {
  constructor(
    private readonly common: StateChange,
    private readonly write: (line: string) => void,
  ) {}

  change(event: string, change: StateChange): void {
    const timestamp = new Date().toISOString();
    const line = {timestamp, event, ...this.common, ...change};
    this.write(`${JSON.stringify(line)}\n`);
  }
}
