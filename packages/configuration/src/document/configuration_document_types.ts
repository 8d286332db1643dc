import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** The whole set of objects, published together. */
export interface ConfigurationDocument {
  /** Unique for each change, so that a lost reply is resolved by reading. */
  readonly changeId: string;
  /** Who made the change. */
  readonly author: string;
  readonly objects: readonly ConfigurationObject[];
}
