import type {Writable} from 'node:stream';

/** Above this rate, lines are dropped and counted. */
const MAX_LINES_PER_SECOND = 400;
/** Buffered bytes at which lines are dropped because the reader has stopped. */
const MAX_BUFFERED_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Writes log lines without blocking on the reader of the output.
 *
 * When the reader stops, or lines come in a burst, lines are dropped, so that
 * the process neither waits nor uses more and more memory. The next line that
 * is written is preceded by a line with the count of the dropped ones.
 */
export class BoundedLineOutput {
  private windowEnd = 0;
  private linesInWindow = 0;
  private droppedLineCount = 0;

  constructor(
    private readonly output: Pick<Writable, 'write' | 'writableLength'>,
    private readonly now: () => number,
    /** Formats the line that reports how many lines were dropped. */
    private readonly formatDropReport: (count: number) => string,
  ) {}

  write(line: string): void {
    if (!this.canWrite()) {
      this.droppedLineCount += 1;
      return;
    }
    if (this.droppedLineCount > 0) {
      this.output.write(this.formatDropReport(this.droppedLineCount));
      this.droppedLineCount = 0;
    }
    this.linesInWindow += 1;
    this.output.write(line);
  }

  private canWrite(): boolean {
    const now = this.now();
    if (now >= this.windowEnd) {
      this.windowEnd = now + MILLISECONDS_PER_SECOND;
      this.linesInWindow = 0;
    }
    if (this.linesInWindow >= MAX_LINES_PER_SECOND) return false;
    return this.output.writableLength < MAX_BUFFERED_BYTES;
  }
}
