/** Significant digits of a figure. */
const DIGITS = 3;

/** Describes the figures of several runs: the median, and their range. */
export function summarizeRuns(figures: readonly number[]): string {
  const sorted = [...figures].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? NaN;
  const [lowest, highest] = [sorted[0] ?? NaN, sorted.at(-1) ?? NaN];
  const shown = [median, lowest, highest].map(toText);
  return `${shown[0]} (${shown[1]} to ${shown[2]})`;
}

function toText(figure: number): string {
  return Number(figure.toPrecision(DIGITS)).toString();
}
