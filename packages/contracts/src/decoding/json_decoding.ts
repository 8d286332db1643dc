import type * as v from 'valibot';
import type {Decoded} from './decoded_types.js';
import {decodeValue} from './value_decoding.js';

/** Decodes a JSON text that another process wrote, by a schema; never throws. */
export function decodeJson<T>(
  schema: v.GenericSchema<unknown, T>,
  text: string,
  maxCharacters = Infinity,
): Decoded<T> {
  if (text.length > maxCharacters) {
    const reason = `longer than ${maxCharacters} characters`;
    return {isReadable: false, reason};
  }
  try {
    return decodeValue(schema, JSON.parse(text));
  } catch {
    return {isReadable: false, reason: 'not JSON'};
  }
}
