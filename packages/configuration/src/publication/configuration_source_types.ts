import type {ConfigurationRevision} from '../document/configuration_revision_types.js';

/** Where a process learns the configuration. */
export interface ConfigurationSource {
  /** The newest revision. */
  read(): Promise<ConfigurationRevision>;
  /**
   * Follows changes that the registrations in the store don't show, until
   * the signal aborts; calls back with each newer revision.
   */
  follow?(
    onRevision: (revision: ConfigurationRevision) => void,
    signal: AbortSignal,
  ): Promise<void>;
}
