import {
  NoOpMetrics,
  StatsMetrics,
  type Metrics,
} from '@chicoryspring/observability';

interface Address {
  readonly host: string;
  readonly port: number;
}

/** Metrics that go to the collector of the settings, if there is one. */
export async function createMetrics(
  address: Address | undefined,
  tags: Readonly<Record<string, string>>,
): Promise<Metrics> {
  if (!address) return new NoOpMetrics();
  return await StatsMetrics.create(address, tags);
}
