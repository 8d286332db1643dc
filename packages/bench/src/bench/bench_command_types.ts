/** One measurement that `npm run bench` runs. */
export interface BenchCommand {
  readonly name: string;
  readonly description: string;
  /** Flags as `cac` writes them, with their descriptions and defaults. */
  readonly options?: readonly {
    readonly flag: string;
    readonly description: string;
    readonly default?: string | number | boolean;
  }[];
  readonly run: (flags: Readonly<Record<string, unknown>>) => Promise<void>;
}
