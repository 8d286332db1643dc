import type {EntryClient} from '../client/entry_client.js';

/** One use of a command. */
export interface Invocation {
  /** Words after the name of the command. */
  readonly words: readonly string[];
  /** Options by camel-case name. */
  readonly options: Readonly<Record<string, unknown>>;
  /** Connects to an entry on the first call. */
  readonly client: () => EntryClient;
  /** Tells of the progress of long work, on standard error. */
  readonly progress: (line: string) => void;
}
