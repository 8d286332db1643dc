import type {Writable} from 'node:stream';
import {BoundedLineOutput} from '../line_output/bounded_line_output.js';
import type {StateChange} from './state_change_types.js';
import type {StateLog} from './state_log_types.js';

/** Writes JSON lines without a library, for processes with little memory. */
export class LineStateLog implements StateLog {
  constructor(
    private readonly commonFields: StateChange,
    private readonly writeLine: (line: string) => void,
  ) {}

  /** Creates a log that drops lines instead of waiting for the reader. */
  static to(output: Writable, common: StateChange): LineStateLog {
    const formatDropReport = (count: number) =>
      formatLine('lines left out', common, {count});
    const bounded = new BoundedLineOutput(output, Date.now, formatDropReport);
    return new LineStateLog(common, line => bounded.write(line));
  }

  change(event: string, change: StateChange): void {
    this.writeLine(formatLine(event, this.commonFields, change));
  }
}

function formatLine(
  event: string,
  common: StateChange,
  change: StateChange,
): string {
  const timestamp = new Date().toISOString();
  return `${JSON.stringify({timestamp, event, ...common, ...change})}\n`;
}
