import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {PlacedFinding} from './placed_finding_types.js';

/** The objects of several files as one set, and the findings about it. */
export interface ConfigurationSet {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly PlacedFinding[];
}
