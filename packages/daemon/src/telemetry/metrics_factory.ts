import {
  NoOpMetrics,
  StatsMetrics,
  type Metrics,
} from '@chicoryspring/observability';

interface Address {
  readonly host: string;
  readonly port: number;
}

/** Creates metrics for the configured collector, else no-op metrics. */
export async function createMetrics(
  address: Address | undefined,
  tags: Readonly<Record<string, string>>,
): Promise<Metrics> {
  if (!address) return new NoOpMetrics();
  return await StatsMetrics.create(address, tags);
}
