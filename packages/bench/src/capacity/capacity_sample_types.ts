/** Rates of one role over one window. */
export interface CapacitySample {
  /** What was varied, and its value. */
  readonly variable: string;
  readonly value: number;
  readonly role: 'entry' | 'agent' | 'store';
  /** Share of one core, in percent. */
  readonly processorPercent: number;
  readonly residentMebibytes: number;
  readonly bytesPerSecond: number;
  /** Calls of the store per second, reads and writes. */
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
}
