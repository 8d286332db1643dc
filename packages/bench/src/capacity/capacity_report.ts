import {linearRegression} from 'simple-statistics';
import type {CapacitySample} from './capacity_sample_types.js';

const MEASURES = [
  'processorPercent',
  'residentMebibytes',
  'bytesPerSecond',
  'storeReadsPerSecond',
  'storeWritesPerSecond',
] as const;
const DIGITS = 4;

/** The samples and the slope of each measure, as Markdown. */
export function formatCapacityReport(
  samples: readonly CapacitySample[],
): string {
  const lines = [
    '| varied | value | role | core % | MiB | bytes/s | store reads/s | store writes/s |',
    '|---|---|---|---|---|---|---|---|',
  ];
  for (const sample of samples) lines.push(formatSample(sample));
  lines.push(
    '',
    '| varied | role | slope of | at 0 | for each |',
    '|---|---|---|---|---|',
  );
  for (const [name, group] of groupSamples(samples)) {
    for (const measure of MEASURES)
      lines.push(formatSlope(name, group, measure));
  }
  return `${lines.join('\n')}\n`;
}

function formatSample(sample: CapacitySample): string {
  const figures = MEASURES.map(measure => sample[measure].toFixed(1));
  const {variable, value, role} = sample;
  return `| ${[variable, value, role, ...figures].join(' | ')} |`;
}

function groupSamples(
  samples: readonly CapacitySample[],
): ReadonlyMap<string, readonly CapacitySample[]> {
  const groups = new Map<string, readonly CapacitySample[]>();
  for (const sample of samples) {
    const name = `${sample.variable} | ${sample.role}`;
    groups.set(name, [...(groups.get(name) ?? []), sample]);
  }
  return groups;
}

function formatSlope(
  name: string,
  samples: readonly CapacitySample[],
  measure: (typeof MEASURES)[number],
): string {
  const points = samples.map(sample => [sample.value, sample[measure]]);
  const {m: slope, b: start} = linearRegression(points);
  const figures = [start, slope].map(one => one.toPrecision(DIGITS));
  return `| ${[name, measure, ...figures].join(' | ')} |`;
}
