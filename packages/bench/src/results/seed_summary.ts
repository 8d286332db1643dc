import type {SeedSummary} from './seed_summary_types.js';

/** Sums up one figure over several seeds. */
export function summarizeSeeds(figures: readonly number[]): SeedSummary {
  const sorted = figures.toSorted((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)]!;
  return {median, least: sorted[0]!, most: sorted.at(-1)!};
}
