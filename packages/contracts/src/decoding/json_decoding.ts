import * as v from 'valibot';
import type {Decoded} from './decoded_types.js';

/** The text of another writer may be part of a reason. */
const MAX_REASON_CHARACTERS = 200;

/**
 * Decodes a JSON text that another process wrote, by a schema.
 *
 * Never throws, whatever the text is. A schema walks only the fields that it
 * names, so a value that passes has no more levels than the schema.
 */
export function decodeJson<T>(
  schema: v.GenericSchema<unknown, T>,
  text: string,
  maxCharacters = Infinity,
): Decoded<T> {
  if (text.length > maxCharacters)
    return unreadable(`longer than ${maxCharacters} characters`);
  try {
    const checked = v.safeParse(schema, JSON.parse(text));
    if (checked.success) return {isReadable: true, value: checked.output};
    return unreadable(describeIssue(checked.issues[0]));
  } catch (thrown) {
    return unreadable((thrown as Error).message);
  }
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  const path = v.getDotPath(issue);
  return path ? `${path}: ${issue.message}` : issue.message;
}

function unreadable(reason: string): Decoded<never> {
  return {isReadable: false, reason: reason.slice(0, MAX_REASON_CHARACTERS)};
}
