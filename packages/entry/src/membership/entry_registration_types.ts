/** One registration of an entry, until its lease in the store ends. */
export interface EntryRegistration {
  /** Differs from that of every other registration. */
  readonly id: string;
  /** Local instant at which the store had confirmed it. */
  readonly registeredAt: number;
}
