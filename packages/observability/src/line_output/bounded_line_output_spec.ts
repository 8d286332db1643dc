import {Writable} from 'node:stream';
import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {BoundedLineOutput} from './bounded_line_output.js';

const LINE = `${'x'.repeat(999)}\n`;

/** An output that completes no write while its reader has stopped. */
class StallingOutput extends Writable {
  readonly lines: string[] = [];
  isStalled = false;
  private finishWrite: (() => void) | undefined;

  override _write(chunk: Buffer, _: string, done: () => void): void {
    this.lines.push(String(chunk));
    if (this.isStalled) this.finishWrite = done;
    else done();
  }

  resumeReading(): void {
    this.isStalled = false;
    this.finishWrite?.();
  }
}

function createFixture() {
  const clock = new ManualClock();
  const output = new StallingOutput();
  const report = (count: number) => `left out ${count}\n`;
  const lines = new BoundedLineOutput(output, () => clock.now(), report);
  return {clock, output, lines};
}

describe('bounded line output', () => {
  describe('with a reader that keeps up', test => {
    test('writes every line', () => {
      const {output, lines} = createFixture();
      for (let count = 0; count < 100; count += 1) lines.write(LINE, 'request');
      assert.is(output.lines.length, 100);
    });

    test('drops the excess of a burst and reports the count', async () => {
      const {clock, output, lines} = createFixture();
      for (let count = 0; count < 1_000; count += 1)
        lines.write(LINE, 'request');
      assert.is(output.lines.length, 400);
      await clock.advance(1_000);
      lines.write(LINE, 'request');
      assert.equal(output.lines.slice(400), ['left out 600\n', LINE]);
    });
  });

  describe('with a burst of lines about requests', test => {
    test('still writes the lines about the state of the process', () => {
      const {output, lines} = createFixture();
      for (let count = 0; count < 1_000; count += 1)
        lines.write(LINE, 'request');
      lines.write('state\n', 'state');
      assert.equal(output.lines.slice(400), ['left out 600\n', 'state\n']);
    });
  });

  describe('with a reader that has stopped', test => {
    test('buffers a bounded amount during 10 s of load, then resumes', async () => {
      const {clock, output, lines} = createFixture();
      output.isStalled = true;
      for (let second = 0; second < 10; second += 1) {
        for (let count = 0; count < 300; count += 1)
          lines.write(LINE, 'request');
        await clock.advance(1_000);
      }
      assert.ok(output.writableLength <= 1_049_576);
      output.resumeReading();
      await new Promise(resolve => setImmediate(resolve));
      lines.write(LINE, 'request');
      assert.match(output.lines.at(-2)!, /^left out 19\d\d/);
      assert.is(output.lines.at(-1), LINE);
    });
  });
});
