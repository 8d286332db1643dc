import {readFileSync} from 'node:fs';
import {checkConfiguration} from '../check/configuration_check.js';
import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import {findConfigurationFiles} from './configuration_file_finder.js';
import type {ConfigurationSet} from './configuration_set_types.js';
import type {PlacedFinding} from './placed_finding_types.js';
import type {SourceObject} from './source_object.js';
import {readYamlObjects} from './yaml_object_reader.js';

/** Reads files and folders as one set and checks it as a whole. */
export function readConfigurationSet(
  paths: readonly string[],
): ConfigurationSet {
  const files = paths.flatMap(findConfigurationFiles);
  const read = files.map(file =>
    readYamlObjects(file, readFileSync(file, 'utf8')),
  );
  const sources = read.flatMap(one => one.objects);
  const syntaxFindings = read.flatMap(one => one.findings);
  const checked = checkConfiguration(sources.map(source => source.value));
  const placedFindings = checked.findings.map(one => place(one, sources));
  return {
    objects: checked.objects,
    findings: [...syntaxFindings, ...placedFindings],
  };
}

function place(
  finding: ConfigurationFinding,
  sources: readonly SourceObject[],
): PlacedFinding {
  const {object, field, severity} = finding;
  const source = sources[finding.position ?? -1];
  const other = sources[finding.otherPosition ?? -1];
  const file = source?.file ?? '';
  const line = source?.lineOf(field) ?? 0;
  const message = other
    ? `${finding.message}, at ${other.file}:${other.lineOf(field)}`
    : finding.message;
  return {file, line, object, field, message, severity};
}
