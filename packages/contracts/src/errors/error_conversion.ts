import {ChicoryspringError} from './chicoryspring_error.js';

/** Converts any thrown value into an error of a known kind. */
export function toChicoryspringError(thrown: unknown): ChicoryspringError {
  if (thrown instanceof ChicoryspringError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new ChicoryspringError('internal', message);
}
