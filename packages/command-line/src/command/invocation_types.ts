import type {EntryClient} from '../client/entry_client.js';

/** One invocation of a command. */
export interface Invocation {
  /** Positional arguments after the name of the command. */
  readonly positionalArguments: readonly string[];
  /** Options by camel-case name. */
  readonly options: Readonly<Record<string, unknown>>;
  /** Creates the client on first use; throws if its settings are invalid. */
  readonly client: () => EntryClient;
  /** Reports the progress of a long operation on standard error. */
  readonly progress: (line: string) => void;
}
