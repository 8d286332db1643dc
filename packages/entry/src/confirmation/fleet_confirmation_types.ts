/** Entries and agents at which a configuration revision is active. */
export interface FleetConfirmation {
  readonly revision: number;
  /** Whether every known entry and every linked agent has confirmed it. */
  readonly isInForce: boolean;
  readonly confirmedEntries: readonly string[];
  readonly confirmedWorkers: readonly string[];
  /** Known entries that did not answer or have an older revision. */
  readonly unconfirmedEntries: readonly string[];
  /** Workers whose linked agent has an older revision. */
  readonly unconfirmedWorkers: readonly string[];
  /** Non-terminal tasks on workers of the failure domain. */
  readonly tasks: readonly string[];
}
