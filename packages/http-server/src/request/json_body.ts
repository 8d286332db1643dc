import {ChicoryspringError} from '@chicoryspring/contracts';

/** Parses a JSON body; throws `malformed-request` if it is not JSON. */
export function parseJsonBody(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    throw new ChicoryspringError('malformed-request', 'the body is not JSON');
  }
}
