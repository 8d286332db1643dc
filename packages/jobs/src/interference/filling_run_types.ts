/** A filling run, as interference sees it. */
export interface FillingRun {
  readonly image: string;
  /** Processors that it uses, or asks for while that is not measured. */
  readonly processors: number;
}
