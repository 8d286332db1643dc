/** A table of results and how it came about. */
export interface ResultTable {
  /** Name of the files under docs/results. */
  readonly name: string;
  readonly title: string;
  readonly command: string;
  readonly seeds: readonly number[];
  /** Remarks on the run, for instance what else ran beside it. */
  readonly remarks: readonly string[];
  readonly columns: readonly string[];
  readonly rows: readonly (readonly string[])[];
  readonly chart?: {
    readonly measure: string;
    readonly bars: readonly {
      readonly group: string;
      readonly bar: string;
      readonly value: number;
    }[];
  };
}
