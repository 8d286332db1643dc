import type {Writable} from 'node:stream';
import {BoundedLineOutput} from '../line_output/bounded_line_output.js';
import type {StateChange} from './state_change_types.js';
import type {StateLog} from './state_log_types.js';

/** Writes JSON lines itself, where the memory of a library is too much. */
export class LineStateLog implements StateLog {
  constructor(
    private readonly common: StateChange,
    private readonly write: (line: string) => void,
  ) {}

  /** A log that never waits for the reader of the output. */
  static to(output: Writable, common: StateChange): LineStateLog {
    const report = (count: number) => lineOf('lines left out', common, {count});
    const bounded = new BoundedLineOutput(output, Date.now, report);
    return new LineStateLog(common, line => bounded.write(line));
  }

  change(event: string, change: StateChange): void {
    this.write(lineOf(event, this.common, change));
  }
}

function lineOf(
  event: string,
  common: StateChange,
  change: StateChange,
): string {
  const timestamp = new Date().toISOString();
  return `${JSON.stringify({timestamp, event, ...common, ...change})}\n`;
}
