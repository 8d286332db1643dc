import type {Writable} from 'node:stream';

/** Lines in one second; more are left out and counted. */
const LINES_PER_SECOND = 400;
/** Unread bytes at which lines are left out, since nobody reads them. */
const MOST_UNREAD_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Writes log lines without ever waiting for their reader.
 *
 * A reader that stops, or a burst, costs lines and neither time nor memory; the
 * next line that is written again is preceded by the count of those left out.
 */
export class BoundedLineOutput {
  private windowEnd = 0;
  private linesInWindow = 0;
  private leftOut = 0;

  constructor(
    private readonly output: Pick<Writable, 'write' | 'writableLength'>,
    private readonly now: () => number,
    /** Makes the line that tells how many were left out. */
    private readonly reportOf: (count: number) => string,
  ) {}

  write(line: string): void {
    if (!this.hasRoom()) {
      this.leftOut += 1;
      return;
    }
    if (this.leftOut > 0) {
      this.output.write(this.reportOf(this.leftOut));
      this.leftOut = 0;
    }
    this.linesInWindow += 1;
    this.output.write(line);
  }

  private hasRoom(): boolean {
    const now = this.now();
    if (now >= this.windowEnd) {
      this.windowEnd = now + MILLISECONDS_PER_SECOND;
      this.linesInWindow = 0;
    }
    if (this.linesInWindow >= LINES_PER_SECOND) return false;
    return this.output.writableLength < MOST_UNREAD_BYTES;
  }
}
