import * as v from 'valibot';
import type {TraceLine} from './trace_line_types.js';

/**
 * Events shown in every trace. They show what information a process had when it
 * decided, for instance restarts, owned shards and connected workers.
 */
const CONTEXT_EVENTS = new Set([
  'entry started',
  'agent started',
  'entry draining',
  'told to stop',
  'lines left out',
  'shard gained',
  'shard lost',
  'lease lapsed',
  'worker joined',
  'worker leaving',
  'worker left',
  'runs lost',
  'runs known',
  'runs not known',
  'lease held back',
  'lease extended again',
  'lease extension',
]);

const lineSchema = v.objectWithRest(
  {timestamp: v.string(), event: v.string(), process: v.string()},
  v.unknown(),
);

/** Selects the lines of an id from the logs of several processes. */
export class TraceReader {
  /**
   * Returns the lines of the id in order of time. Context events between the
   * first and the last of them are included. A line may have a prefix before
   * its JSON.
   */
  static read(id: string, texts: readonly string[]): readonly TraceLine[] {
    const lines = texts
      .flatMap(text => text.split('\n'))
      .flatMap(line => parseLine(line))
      .filter(line => concernsId(id, line));
    const sorted = [...lines].sort((one, other) => one.instant - other.instant);
    const isOfId = ({event}: TraceLine) => !CONTEXT_EVENTS.has(event);
    const first = sorted.findIndex(isOfId);
    return first < 0
      ? []
      : sorted.slice(first, sorted.findLastIndex(isOfId) + 1);
  }
}

/** Returns an empty list for a line in another format. */
function parseLine(line: string): readonly TraceLine[] {
  const start = line.indexOf('{');
  if (start < 0) return [];
  const checked = v.safeParse(lineSchema, parseJson(line.slice(start)));
  if (!checked.success) return [];
  const {timestamp, event, process, ...fields} = checked.output;
  const instant = Date.parse(timestamp);
  return Number.isNaN(instant) ? [] : [{instant, process, event, fields}];
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Lines of other programs are skipped.
    return undefined;
  }
}

function concernsId(id: string, {event, fields}: TraceLine): boolean {
  if (CONTEXT_EVENTS.has(event)) return true;
  const {jobId, taskId, requestId, task, path} = fields;
  return [jobId, taskId, requestId, task, path].some(
    value => typeof value === 'string' && matchesId(id, value),
  );
}

/** Whether a value is the id, the name of one of its tasks or a path to it. */
function matchesId(id: string, value: string): boolean {
  return value === id || value.startsWith(`${id}.`) || value.endsWith(`/${id}`);
}
