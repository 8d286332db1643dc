import {ChicoryspringError} from '../errors/chicoryspring_error.js';
import type {Decoded} from './decoded_types.js';

/**
 * The value of a key that can't be done without; throws `record-unreadable` with
 * the key.
 */
export function requireReadable<T>(key: string, decoded: Decoded<T>): T {
  if (decoded.isReadable) return decoded.value;
  const message = `${key}: ${decoded.reason}`;
  throw new ChicoryspringError('record-unreadable', message);
}
