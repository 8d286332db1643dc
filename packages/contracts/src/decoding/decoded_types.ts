/** What a text that another process wrote says, or why it can't be read. */
export type Decoded<T> =
  | {readonly isReadable: true; readonly value: T}
  | {readonly isReadable: false; readonly reason: string};
