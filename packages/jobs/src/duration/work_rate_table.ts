/** Runs of a worker from which its rate is learned, the last ones. */
const MAX_RUNS = 16;
const MIN_RUNS = 8;
/** Workers that are kept, the last observed ones. */
const MAX_WORKERS = 4_000;
const MIN_RATE = 0.25;
const MAX_RATE = 4;

/** Work rate of each worker: 1 where runs take as long as in the fleet. */
export class WorkRateTable {
  private readonly ratios = new Map<string, readonly number[]>();
  private readonly rates = new Map<string, number>();

  /** Counts a run that took the given multiple of the fleet's median. */
  record(agent: string, ratio: number): void {
    const ratios = [...(this.ratios.get(agent) ?? []), ratio].slice(-MAX_RUNS);
    this.ratios.delete(agent);
    this.ratios.set(agent, ratios);
    this.rates.delete(agent);
    if (ratios.length >= MIN_RUNS) this.rates.set(agent, rateOf(ratios));
    if (this.ratios.size <= MAX_WORKERS) return;
    const [oldest] = this.ratios.keys();
    this.ratios.delete(oldest!);
    this.rates.delete(oldest!);
  }

  /** The rate of an agent's worker; 1 while too little is known. */
  rateOf(agent: string): number {
    return this.rates.get(agent) ?? 1;
  }
}

function rateOf(ratios: readonly number[]): number {
  const sorted = ratios.toSorted((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)]!;
  return Math.min(MAX_RATE, Math.max(MIN_RATE, 1 / median));
}
