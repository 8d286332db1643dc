/** A fault with its place in the operator's files. */
export interface PlacedFinding {
  readonly file: string;
  readonly line: number;
  readonly object: string;
  readonly field: string;
  readonly message: string;
  readonly severity: 'invalid' | 'unsafe';
}
