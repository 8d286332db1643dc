import * as v from 'valibot';
import type {Decoded} from './decoded_types.js';

/** A message may contain the value itself. */
const MAX_REASON_CHARACTERS = 200;

/**
 * Decodes a value that another process wrote, by a schema; never throws. It stops at
 * the first fault.
 *
 * A schema walks only the fields that it names, so a value that passes has no
 * more levels than the schema.
 */
export function decodeValue<T>(
  schema: v.GenericSchema<unknown, T>,
  value: unknown,
): Decoded<T> {
  const checked = v.safeParse(schema, value, {abortEarly: true});
  if (checked.success) return {isReadable: true, value: checked.output};
  const [issue] = checked.issues;
  const path = v.getDotPath(issue);
  const reason = path ? `${path}: ${issue.message}` : issue.message;
  return {isReadable: false, reason: reason.slice(0, MAX_REASON_CHARACTERS)};
}
