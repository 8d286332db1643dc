import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** A proposed replacement of the whole set of objects. */
export interface ConfigurationChange {
  readonly before: readonly ConfigurationObject[];
  readonly after: readonly ConfigurationObject[];
}
