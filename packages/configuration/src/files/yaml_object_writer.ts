import {stringify} from 'yaml';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** Writes objects as a YAML text with one document for each. */
export function writeYamlObjects(
  objects: readonly ConfigurationObject[],
): string {
  return objects.map(object => stringify(object)).join('---\n');
}
