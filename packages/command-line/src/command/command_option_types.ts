/** An option of a command. */
export interface CommandOption {
  /** As the help shows it, for instance `--within <seconds>`. */
  readonly flag: string;
  readonly description: string;
}
