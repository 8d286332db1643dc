import type {ConfigurationRevision} from '../document/configuration_revision_types.js';

/** Source from which a process reads the configuration. */
export interface ConfigurationSource {
  /** The newest revision. */
  read(): Promise<ConfigurationRevision>;
  /**
   * Watches for changes that are made outside the keys that an entry watches in
   * the store, until the signal aborts. Calls back with each newer revision.
   */
  follow?(
    onRevision: (revision: ConfigurationRevision) => void,
    signal: AbortSignal,
  ): Promise<void>;
}
