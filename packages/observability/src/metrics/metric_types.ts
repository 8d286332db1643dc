/** What the operators' page says of a metric. */
export interface Metric {
  readonly type: 'counter' | 'gauge' | 'timing';
  readonly unit: string;
  /** Tags with their values, separated by spaces. */
  readonly tags: readonly string[];
  readonly meaning: string;
}
