/** An entry instance as the others know it. */
export interface EntryMember {
  readonly name: string;
  /** Address of its links, `ws://IP:PORT`. */
  readonly linkUrl: string;
}
