/** Counters and measurements; cheap enough to take on every request. */
export interface Metrics {
  increment(name: string, tags?: Readonly<Record<string, string>>): void;
  gauge(
    name: string,
    value: number,
    tags?: Readonly<Record<string, string>>,
  ): void;
  /** A time in milliseconds. */
  timing(
    name: string,
    milliseconds: number,
    tags?: Readonly<Record<string, string>>,
  ): void;
}
