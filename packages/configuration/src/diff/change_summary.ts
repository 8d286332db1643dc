import type {ConfigurationDifference} from './configuration_difference_types.js';

const LONGEST_SUMMARY = 300;

/** Summarizes a change in one line for the audit trail and the history. */
export function summarizeChange(
  differences: readonly ConfigurationDifference[],
): string {
  const parts = differences.map(({object, change, fields}) => {
    if (change !== 'changed') return `${change} ${object}`;
    return `changed ${object} (${fields.map(one => one.field).join(', ')})`;
  });
  const summary = parts.join('; ') || 'nothing changed';
  if (summary.length <= LONGEST_SUMMARY) return summary;
  const counted = `${differences.length} objects: ${summary}`;
  return `${counted.slice(0, LONGEST_SUMMARY)}...`;
}
