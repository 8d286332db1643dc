import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** A set of objects that is to replace another. */
export interface ConfigurationChange {
  readonly before: readonly ConfigurationObject[];
  readonly after: readonly ConfigurationObject[];
}
