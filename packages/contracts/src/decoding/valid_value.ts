import type * as v from 'valibot';
import {ChicoryspringError} from '../errors/chicoryspring_error.js';
import {decodeValue} from './value_decoding.js';

/**
 * Checks a value that a client sent, by a schema; `what` says what it should be.
 *
 * Throws `malformed-request` with the first fault. To list every fault of a body
 * would cost many times its size.
 */
export function requireValid<T>(
  schema: v.GenericSchema<unknown, T>,
  value: unknown,
  what: string,
): T {
  const decoded = decodeValue(schema, value);
  if (decoded.isReadable) return decoded.value;
  const {reason} = decoded;
  const message = `not ${what}: ${reason}`;
  throw new ChicoryspringError('malformed-request', message, [reason]);
}
