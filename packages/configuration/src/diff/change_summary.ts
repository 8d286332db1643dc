import type {ConfigurationDifference} from './configuration_difference_types.js';

const MAX_SUMMARY_CHARACTERS = 300;

/** Summarizes a change in one line for the audit trail and the history. */
export function summarizeChange(
  differences: readonly ConfigurationDifference[],
): string {
  const parts = differences.map(({object, change, fields}) => {
    if (change !== 'changed') return `${change} ${object}`;
    return `changed ${object} (${fields.map(one => one.field).join(', ')})`;
  });
  const summary = parts.join('; ') || 'nothing changed';
  if (summary.length <= MAX_SUMMARY_CHARACTERS) return summary;
  const counted = `${differences.length} objects: ${summary}`;
  return `${counted.slice(0, MAX_SUMMARY_CHARACTERS)}...`;
}
