import * as v from 'valibot';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import {configurationObjectSchema} from '../objects/configuration_object_schema.js';
import type {ConfigurationCheck} from './configuration_check_types.js';
import type {ConfigurationFinding} from './configuration_finding_types.js';
import {REFERENCE_REGISTRY} from './reference_registry.js';

/** The set is one value of the store, which is limited to a megabyte. */
const MAX_SET_BYTES = 1_000_000;

/** One object to check; its identity is `Kind/name`. */
interface Candidate {
  readonly value: unknown;
  readonly position: number;
  readonly identity: string;
}

/**
 * Checks a whole set and returns every finding, by position in the set.
 *
 * The returned objects are those that match the schema, with defaults.
 */
export function checkConfiguration(
  values: readonly unknown[],
): ConfigurationCheck {
  const candidates = values.map(toCandidate);
  const known = new Set(candidates.map(candidate => candidate.identity));
  const objects: ConfigurationObject[] = [];
  const findings: ConfigurationFinding[] = [];
  for (const candidate of candidates) {
    const checked = v.safeParse(configurationObjectSchema, candidate.value);
    if (checked.success) objects.push(checked.output);
    else findings.push(...schemaFindings(candidate, checked.issues));
    findings.push(...referenceFindings(candidate, known));
  }
  findings.push(...duplicateFindings(candidates), ...sizeFindings(objects));
  return {objects, findings: findings.sort(byPosition)};
}

function toCandidate(value: unknown, position: number): Candidate {
  const named = value as {readonly kind?: unknown; readonly name?: unknown};
  const kind = stringOr(named?.kind, 'unknown kind');
  const name = stringOr(named?.name, `object ${position + 1}`);
  return {value, position, identity: `${kind}/${name}`};
}

function stringOr(value: unknown, substitute: string): string {
  return typeof value === 'string' ? value : substitute;
}

function schemaFindings(
  candidate: Candidate,
  issues: readonly v.BaseIssue<unknown>[],
): readonly ConfigurationFinding[] {
  const {identity: object, position} = candidate;
  return issues.map(issue => ({
    object,
    field: v.getDotPath(issue) ?? '',
    message: describeIssue(issue),
    severity: 'invalid',
    position,
  }));
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  if (issue.type === 'strict_object') {
    const isUnknown = issue.expected === 'never';
    return isUnknown ? 'is not a known field' : 'is missing';
  }
  return issue.message;
}

function duplicateFindings(
  candidates: readonly Candidate[],
): readonly ConfigurationFinding[] {
  const seen = new Map<string, number>();
  const findings: ConfigurationFinding[] = [];
  for (const {identity: object, position} of candidates) {
    const otherPosition = seen.get(object);
    if (otherPosition === undefined) {
      seen.set(object, position);
      continue;
    }
    findings.push({
      object,
      field: 'name',
      message: 'another object has this kind and name',
      severity: 'invalid',
      position,
      otherPosition,
    });
  }
  return findings;
}

/** Dangling references, also of an object that doesn't match the schema. */
function referenceFindings(
  candidate: Candidate,
  known: ReadonlySet<string>,
): readonly ConfigurationFinding[] {
  const {value, identity: object, position} = candidate;
  const {kind, spec} = (value ?? {}) as {
    readonly kind?: unknown;
    readonly spec?: Readonly<Record<string, unknown>>;
  };
  const references = REFERENCE_REGISTRY.get(String(kind)) ?? [];
  return references.flatMap(reference =>
    namesIn(spec?.[reference.field])
      .map(name => `${reference.kind}/${name}`)
      .filter(target => !known.has(target))
      .map(target => ({
        object,
        field: `spec.${reference.field}`,
        message: `refers to ${target}, which does not exist`,
        severity: 'invalid' as const,
        position,
      })),
  );
}

function namesIn(value: unknown): readonly string[] {
  const values: readonly unknown[] = Array.isArray(value) ? value : [value];
  return values.filter(one => typeof one === 'string');
}

function sizeFindings(
  objects: readonly ConfigurationObject[],
): readonly ConfigurationFinding[] {
  const bytes = Buffer.byteLength(JSON.stringify(objects));
  if (bytes <= MAX_SET_BYTES) return [];
  const message = `the set has ${bytes} bytes, more than ${MAX_SET_BYTES}`;
  return [{object: '', field: '', message, severity: 'invalid'}];
}

function byPosition(
  left: ConfigurationFinding,
  right: ConfigurationFinding,
): number {
  return (left.position ?? 0) - (right.position ?? 0);
}
