import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationFinding} from './configuration_finding_types.js';

/** The well-formed objects of a set and all findings about it. */
export interface ConfigurationCheck {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly ConfigurationFinding[];
}
