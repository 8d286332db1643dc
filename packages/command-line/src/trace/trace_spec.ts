import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {TraceReader} from './trace_reader.js';
import {formatTrace} from './trace_formatter.js';

const ID = '5c0e7a21d94b36f8';

function createLine(
  second: number,
  process: string,
  event: string,
  fields = {},
) {
  const timestamp = new Date(1_000_000 + second * 1_000).toISOString();
  return JSON.stringify({timestamp, event, process, role: 'entry', ...fields});
}

const OWNER_LOG = [
  createLine(0, 'entry-1', 'entry started'),
  createLine(1, 'entry-1', 'job accepted', {jobId: ID}),
  createLine(1.5, 'entry-1', 'job accepted', {jobId: 'ffffffffffffffff'}),
  createLine(2, 'entry-1', 'run ordered', {taskId: `${ID}.0.0.1`, pace: 40}),
  'not one of our lines {',
  createLine(9, 'entry-1', 'job ended', {jobId: ID, state: 'failed'}),
].join('\n');
const AGENT_LOG = [
  `  1.2 side-1 ${createLine(2.5, 'agent-1', 'run ended', {task: `${ID}.0.0.1`})}`,
  createLine(3, 'agent-1', 'lines left out', {count: 12}),
  createLine(4, 'agent-1', 'run ended', {task: `${ID}0.0.0.1`}),
].join('\n');

function readEvents(...texts: readonly string[]): readonly string[] {
  return TraceReader.read(ID, texts).map(one => one.event);
}

describe('trace', () => {
  describe('of several logs', test => {
    test('has the lines of the id in order of time, and of no other id', () => {
      assert.equal(readEvents(AGENT_LOG, OWNER_LOG), [
        'job accepted',
        'run ordered',
        'run ended',
        'lines left out',
        'job ended',
      ]);
    });

    test('has the rejected requests of the id', () => {
      const refused = createLine(5, 'entry-2', 'request refused', {
        path: `/a/${ID}`,
      });
      assert.ok(readEvents(OWNER_LOG, refused).includes('request refused'));
    });

    test('is empty where no line has the id', () => {
      assert.equal(readEvents(createLine(0, 'entry-1', 'entry started')), []);
      assert.equal(readEvents(''), []);
    });
  });

  describe('as text', test => {
    const formattedLines = formatTrace(
      TraceReader.read(ID, [OWNER_LOG, AGENT_LOG]),
    );

    test('shows the inputs of each decision', () => {
      const ordered = formattedLines.find(one => one.includes('run ordered'));
      assert.match(ordered!, /^ {4}1\.000 entry-1 run ordered: .*pace=40/);
    });

    test('marks gaps', () => {
      const gap = formattedLines.findIndex(one =>
        one.includes('nothing for 6.000 s'),
      );
      assert.match(formattedLines[gap + 1]!, /job ended/);
    });
  });
});
