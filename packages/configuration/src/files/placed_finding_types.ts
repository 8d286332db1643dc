/** A finding with its file and line in the operator's files. */
export interface PlacedFinding {
  /** Empty for a finding without a place in the files. */
  readonly file: string;
  /** Counts from 1; 0 for a finding without a place in the files. */
  readonly line: number;
  readonly object: string;
  readonly field: string;
  readonly message: string;
  readonly severity: 'invalid' | 'unsafe';
}
