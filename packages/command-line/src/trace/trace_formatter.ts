import type {TraceLine} from './trace_line_types.js';

/** Minimum time between two lines that is shown as a gap. */
const GAP_MILLISECONDS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;
const SECOND_DIGITS = 3;

/** Formats trace lines, each with the seconds since the first. */
export function formatTrace(lines: readonly TraceLine[]): readonly string[] {
  const [first] = lines;
  if (!first) return [];
  let previousInstant = first.instant;
  return lines.flatMap(line => {
    const gap = line.instant - previousInstant;
    previousInstant = line.instant;
    const formatted = formatLine(line, first.instant);
    if (gap < GAP_MILLISECONDS) return [formatted];
    return [`           ... nothing for ${toSeconds(gap)} s`, formatted];
  });
}

function formatLine(line: TraceLine, start: number): string {
  const {instant, process, event, fields} = line;
  const details = Object.entries(fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  const seconds = toSeconds(instant - start).padStart(9);
  return `${seconds} ${process} ${event}: ${details.join(' ')}`;
}

function toSeconds(milliseconds: number): string {
  return (milliseconds / MILLISECONDS_PER_SECOND).toFixed(SECOND_DIGITS);
}
