import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LineStateLog} from './line_state_log.js';

describe('state log', () => {
  describe('as lines', test => {
    test('writes one JSON object per line, even when a field has a line break', () => {
      const lines: string[] = [];
      const log = new LineStateLog({worker: 'worker-1'}, line =>
        lines.push(line),
      );
      log.change('agent started', {taskId: 'task-1', note: 'two\nlines'});
      assert.is(lines.length, 1);
      assert.is(lines[0]!.indexOf('\n'), lines[0]!.length - 1);
      const {timestamp, ...others} = JSON.parse(lines[0]!);
      assert.ok(Date.parse(timestamp) > 0);
      assert.equal(others, {
        event: 'agent started',
        worker: 'worker-1',
        taskId: 'task-1',
        note: 'two\nlines',
      });
    });
  });
});
