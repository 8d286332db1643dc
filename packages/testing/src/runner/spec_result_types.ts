/** What one spec file printed and counted. */
export interface SpecResult {
  readonly file: string;
  readonly passed: number;
  readonly failed: number;
  readonly failedTests: readonly string[];
  readonly output: string;
}
