import {stringify} from 'yaml';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** Objects as a YAML text of one document each. */
export function writeYamlObjects(
  objects: readonly ConfigurationObject[],
): string {
  return objects.map(object => stringify(object)).join('---\n');
}
