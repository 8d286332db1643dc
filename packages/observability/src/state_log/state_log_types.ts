/** Log lines for changes of state; everything frequent is a counter. */
export interface StateLog {
  change(
    event: string,
    fields: Readonly<Record<string, string | number | boolean | undefined>>,
  ): void;
}
