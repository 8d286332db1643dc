import {ChicoryspringError} from '@chicoryspring/contracts';

/** The value of a JSON body, or `malformed-request`. */
export function parseJsonBody(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    throw new ChicoryspringError('malformed-request', 'the body is not JSON');
  }
}
