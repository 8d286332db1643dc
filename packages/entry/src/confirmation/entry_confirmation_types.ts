/** Confirmation of a configuration revision by one entry and its agents. */
export interface EntryConfirmation {
  readonly entry: string;
  /** Active revision of the entry. */
  readonly revision: number;
  /** Revisions that the linked agents have confirmed. */
  readonly agents: readonly {
    readonly worker: string;
    readonly revision: number;
  }[];
  /** Non-terminal tasks of the entry on workers of the failure domain. */
  readonly tasks: readonly string[];
}
