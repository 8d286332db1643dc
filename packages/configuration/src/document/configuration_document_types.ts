import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** The whole set of configuration objects, which is published at once. */
export interface ConfigurationDocument {
  /**
   * Unique for each change: after a lost reply, the publisher looks it up in
   * the history to see whether its own write took effect.
   */
  readonly changeId: string;
  /** Operator who made the change. */
  readonly author: string;
  readonly objects: readonly ConfigurationObject[];
}
