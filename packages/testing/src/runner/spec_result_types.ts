/** Output and test counts of one spec file. */
export interface SpecResult {
  readonly file: string;
  readonly passed: number;
  /** At least 1 when the spec process did not finish. */
  readonly failed: number;
  /** Titles of the failed tests, each with the names of its blocks. */
  readonly failedTests: readonly string[];
  /** Standard output and standard error, without color codes. */
  readonly output: string;
}
