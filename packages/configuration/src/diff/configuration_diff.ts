import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationDifference} from './configuration_difference_types.js';

/** Fields whose values are replaced by `(hidden)`. */
const HIDDEN_FIELDS = new Set(['spec.tokenHash']);

/** Values as JSON text, by the path of the field. */
type Fields = ReadonlyMap<string, string>;

/** The objects that differ between two sets, ordered by kind and name. */
export function diffConfiguration(
  before: readonly ConfigurationObject[],
  after: readonly ConfigurationObject[],
): readonly ConfigurationDifference[] {
  const previousFields = byIdentity(before);
  const newFields = byIdentity(after);
  const identities = [
    ...new Set([...previousFields.keys(), ...newFields.keys()]),
  ].sort();
  return identities.flatMap(object => {
    const fields = differingFields(
      previousFields.get(object),
      newFields.get(object),
    );
    if (fields.length === 0) return [];
    const change = changeOf(previousFields.has(object), newFields.has(object));
    return {object, change, fields};
  });
}

function changeOf(
  existedBefore: boolean,
  existsAfter: boolean,
): ConfigurationDifference['change'] {
  if (!existedBefore) return 'added';
  return existsAfter ? 'changed' : 'removed';
}

function byIdentity(
  objects: readonly ConfigurationObject[],
): ReadonlyMap<string, Fields> {
  return new Map(
    objects.map(one => [
      `${one.kind}/${one.name}`,
      new Map(flatten('spec', one.spec)),
    ]),
  );
}

function flatten(
  path: string,
  value: unknown,
): readonly (readonly [string, string])[] {
  const isBranch =
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (!isBranch) return [[path, JSON.stringify(value) ?? 'null']];
  return Object.entries(value).flatMap(([key, inner]) =>
    flatten(`${path}.${key}`, inner),
  );
}

function differingFields(
  before: Fields = new Map(),
  after: Fields = new Map(),
): ConfigurationDifference['fields'] {
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names
    .filter(field => before.get(field) !== after.get(field))
    .map(field => ({
      field,
      before: displayedValue(field, before.get(field)),
      after: displayedValue(field, after.get(field)),
    }));
}

function displayedValue(
  field: string,
  value: string | undefined,
): string | undefined {
  return value !== undefined && HIDDEN_FIELDS.has(field) ? '(hidden)' : value;
}
