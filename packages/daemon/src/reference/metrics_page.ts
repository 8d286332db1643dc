import {METRICS_TABLE, type Metric} from '@chicoryspring/observability';

const INTRODUCTION = `# Metrics

A process with \`--metrics-address 127.0.0.1:8125\` sends these to a StatsD
collector over UDP, each name with \`chicoryspring.\` before it. Every metric of
an entry has the tags \`entry\` and \`failureDomain\`, every metric of an agent
\`worker\` and \`failureDomain\`. Gauges are sent every 10 s by an entry and with
each load report by an agent. Without an address nothing is sent.

On the users' platform an entry serves them as text instead, at \`/metrics\` on
the port of \`--metrics-port\`: each name with \`chicoryspring_\` before it and
\`_\` for each dot, timings as histograms.

Changes of state are log lines: one JSON object a line on standard output.
\`--state-log none\` turns them off. This page is written by
\`npm run reference\`.

| metric | type | unit | tags | meaning |
| --- | --- | --- | --- | --- |
`;

/** The page on every metric. */
export function createMetricsPage(): string {
  const rows = Object.entries(METRICS_TABLE).map(([name, metric]) =>
    rowOf(name, metric),
  );
  return `${INTRODUCTION}${rows.join('\n')}\n`;
}

function rowOf(name: string, metric: Metric): string {
  const {type, unit, tags, meaning} = metric;
  return `| \`${name}\` | ${type} | ${unit} | ${tags.join(', ')} | ${meaning} |`;
}
