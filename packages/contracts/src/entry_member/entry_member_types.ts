/** An entry process, as registered for other processes. */
export interface EntryMember {
  readonly name: string;
  /** URL at which it accepts links, `ws://IP:PORT`. */
  readonly linkUrl: string;
  /** Rate of its network connection, if known. */
  readonly megabitsPerSecond?: number | undefined;
  /** Identifies this registration: an entry that registers again has another. */
  readonly registration?: string | undefined;
}
