import * as v from 'valibot';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import {configurationObjectSchema} from '../objects/configuration_object_schema.js';
import type {ConfigurationFinding} from './configuration_finding_types.js';
import {REFERENCE_REGISTRY} from './reference_registry.js';

interface CheckResult {
  readonly objects: readonly ConfigurationObject[];
  readonly findings: readonly ConfigurationFinding[];
}

/** Checks a whole set together and reports every finding at once. */
export function checkConfiguration(
  candidates: readonly unknown[],
): CheckResult {
  const objects: ConfigurationObject[] = [];
  const findings: ConfigurationFinding[] = [];
  candidates.forEach((candidate, position) => {
    const checked = v.safeParse(configurationObjectSchema, candidate);
    if (checked.success) objects.push(checked.output);
    else findings.push(...shapeFindings(candidate, position, checked.issues));
  });
  findings.push(...duplicateFindings(objects), ...referenceFindings(objects));
  return {objects, findings};
}

function shapeFindings(
  candidate: unknown,
  position: number,
  issues: readonly v.BaseIssue<unknown>[],
): readonly ConfigurationFinding[] {
  const named = candidate as {readonly kind?: unknown; readonly name?: unknown};
  const object = `${String(named?.kind)}/${String(named?.name ?? position)}`;
  return issues.map(issue => ({
    object,
    field: v.getDotPath(issue) ?? '',
    message: issue.message,
  }));
}

function duplicateFindings(
  objects: readonly ConfigurationObject[],
): readonly ConfigurationFinding[] {
  const seen = new Set<string>();
  const findings: ConfigurationFinding[] = [];
  for (const object of objects) {
    const identity = `${object.kind}/${object.name}`;
    if (seen.has(identity)) {
      const message = 'another object has this kind and name';
      findings.push({object: identity, field: 'name', message});
    }
    seen.add(identity);
  }
  return findings;
}

function referenceFindings(
  objects: readonly ConfigurationObject[],
): readonly ConfigurationFinding[] {
  const known = new Set(objects.map(one => `${one.kind}/${one.name}`));
  return objects.flatMap(object =>
    (REFERENCE_REGISTRY[object.kind] ?? []).flatMap(reference =>
      reference
        .names(object)
        .filter(name => !known.has(`${reference.kind}/${name}`))
        .map(name => ({
          object: `${object.kind}/${object.name}`,
          field: reference.field,
          message: `refers to ${reference.kind}/${name}, which does not exist`,
        })),
    ),
  );
}
