/** An option of a command. */
export interface CommandOption {
  /** Flag as the help shows it, for instance `--within <seconds>`. */
  readonly flag: string;
  readonly description: string;
}
