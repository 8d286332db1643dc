import {setTimeout as sleep} from 'node:timers/promises';
import type {CapacitySample} from './capacity_sample_types.js';
import {readProcessUsage} from './process_usage_reader.js';
import type {ProcessUsage} from './process_usage_types.js';
import type {StoreCalls} from './store_calls_types.js';

const WINDOW_MILLISECONDS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;

interface SampledProcess {
  readonly role: CapacitySample['role'];
  readonly pid: number;
}

/** What was counted up to an instant. */
interface Reading {
  /** Steady instant in milliseconds. */
  readonly instant: number;
  readonly calls: StoreCalls;
  readonly usages: readonly ProcessUsage[];
}

/** Samples what processes use, and the calls of their store. */
export class CapacitySampler {
  constructor(
    private readonly processes: readonly SampledProcess[],
    private readonly readStoreCalls: () => Promise<StoreCalls>,
  ) {}

  /** Rates of each process over one window. */
  async sample(
    variable: string,
    value: number,
  ): Promise<readonly CapacitySample[]> {
    const before = await this.read();
    await sleep(WINDOW_MILLISECONDS);
    const after = await this.read();
    return this.processes.map(({role}, position) => ({
      variable,
      value,
      role,
      ...ratesOf(before, after, position),
    }));
  }

  private async read(): Promise<Reading> {
    const usages = this.processes.map(({pid}) => readProcessUsage(pid));
    const calls = await this.readStoreCalls();
    return {instant: performance.now(), calls, usages};
  }
}

/** Rates between two readings of the process at a position. */
function ratesOf(
  before: Reading,
  after: Reading,
  position: number,
): Omit<CapacitySample, 'variable' | 'value' | 'role'> {
  const milliseconds = after.instant - before.instant;
  const seconds = milliseconds / MILLISECONDS_PER_SECOND;
  const first = before.usages[position]!;
  const last = after.usages[position]!;
  const used = last.processorMilliseconds - first.processorMilliseconds;
  const bytes = last.transferredBytes - first.transferredBytes;
  const reads = after.calls.reads - before.calls.reads;
  const writes = after.calls.writes - before.calls.writes;
  return {
    processorPercent: (used / milliseconds) * PERCENT,
    residentMebibytes: last.residentMebibytes,
    bytesPerSecond: bytes / seconds,
    storeReadsPerSecond: reads / seconds,
    storeWritesPerSecond: writes / seconds,
  };
}
