import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** The whole set of configuration objects, which is published at once. */
export interface ConfigurationDocument {
  /** Unique for each change: after a lost reply it shows whose write won. */
  readonly changeId: string;
  /** Operator who made the change. */
  readonly author: string;
  readonly objects: readonly ConfigurationObject[];
}
