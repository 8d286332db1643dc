import type {Writable} from 'node:stream';
import {BoundedLineOutput} from '../line_output/bounded_line_output.js';
import type {LineKind} from '../line_output/line_kind_types.js';
import type {StateChange} from './state_change_types.js';
import type {StateLog} from './state_log_types.js';

/** Fields that only lines about one request, job or task have. */
const REQUEST_FIELDS = ['requestId', 'taskId', 'jobId', 'task', 'path'];

/** Writes JSON lines without a library, for processes with little memory. */
export class LineStateLog implements StateLog {
  constructor(
    private readonly commonFields: StateChange,
    private readonly writeLine: (line: string, kind: LineKind) => void,
  ) {}

  /** Creates a log that drops lines instead of waiting for the reader. */
  static to(output: Writable, common: StateChange): LineStateLog {
    const formatDropReport = (count: number) =>
      formatLine('lines left out', common, {count});
    const bounded = new BoundedLineOutput(output, Date.now, formatDropReport);
    return new LineStateLog(common, (line, kind) => bounded.write(line, kind));
  }

  change(event: string, change: StateChange): void {
    this.writeLine(
      formatLine(event, this.commonFields, change),
      kindOf(change),
    );
  }
}

function kindOf(change: StateChange): LineKind {
  return REQUEST_FIELDS.some(field => field in change) ? 'request' : 'state';
}

function formatLine(
  event: string,
  common: StateChange,
  change: StateChange,
): string {
  const timestamp = new Date().toISOString();
  return `${JSON.stringify({timestamp, event, ...common, ...change})}\n`;
}
