import type {ConfigurationDifference} from '@chicoryspring/configuration';

const SIGNS = {added: '+', removed: '-', changed: '~'} as const;

/** Formats differences as lines; lists the fields of changed objects only. */
export function differenceLines(
  differences: readonly ConfigurationDifference[],
): readonly string[] {
  return differences.flatMap(({object, change, fields}) => {
    const title = `${SIGNS[change]} ${object}`;
    if (change !== 'changed') return [title];
    return [
      title,
      ...fields.map(
        ({field, before, after}) =>
          `    ${field}: ${before ?? 'not set'} -> ${after ?? 'not set'}`,
      ),
    ];
  });
}
