/** Definition of a metric, as the reference page for operators shows it. */
export interface Metric {
  readonly type: 'counter' | 'gauge' | 'timing';
  readonly unit: string;
  /** Names of the tags that a sample of the metric carries. */
  readonly tags: readonly string[];
  readonly meaning: string;
}
