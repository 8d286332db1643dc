import type {Writable} from 'node:stream';
import type {LineKind} from './line_kind_types.js';

/** Above these rates, lines of a kind are dropped and counted. */
const MAX_LINES_PER_SECOND: Readonly<Record<LineKind, number>> = {
  request: 400,
  state: 100,
};
/** Buffered bytes at which lines are dropped because the reader has stopped. */
const MAX_BUFFERED_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;
const NO_LINES: Readonly<Record<LineKind, number>> = {request: 0, state: 0};

/**
 * Writes log lines without blocking on the reader of the output.
 *
 * When the reader stops, or lines come in a burst, lines are dropped, so that
 * the process neither waits nor uses more and more memory. The next line that
 * is written is preceded by a line with the count of the dropped ones. Each kind
 * of line has its own rate, so that lines about requests displace none about the
 * state of the process.
 */
export class BoundedLineOutput {
  private windowEnd = 0;
  private linesInWindow = {...NO_LINES};
  private droppedLineCount = 0;

  constructor(
    private readonly output: Pick<Writable, 'write' | 'writableLength'>,
    private readonly now: () => number,
    /** Formats the line that reports how many lines were dropped. */
    private readonly formatDropReport: (count: number) => string,
  ) {}

  write(line: string, kind: LineKind): void {
    if (!this.canWrite(kind)) {
      this.droppedLineCount += 1;
      return;
    }
    if (this.droppedLineCount > 0) {
      this.output.write(this.formatDropReport(this.droppedLineCount));
      this.droppedLineCount = 0;
    }
    this.linesInWindow[kind] += 1;
    this.output.write(line);
  }

  private canWrite(kind: LineKind): boolean {
    const now = this.now();
    if (now >= this.windowEnd) {
      this.windowEnd = now + MILLISECONDS_PER_SECOND;
      this.linesInWindow = {...NO_LINES};
    }
    if (this.linesInWindow[kind] >= MAX_LINES_PER_SECOND[kind]) return false;
    return this.output.writableLength < MAX_BUFFERED_BYTES;
  }
}
