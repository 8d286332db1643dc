import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {PlacedFinding} from './placed_finding_types.js';

/** The set that some files hold together. */
export interface ConfigurationSet {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly PlacedFinding[];
}
