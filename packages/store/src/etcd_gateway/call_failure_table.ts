import {isConnectFailure} from '@chicoryspring/contracts';
import {StoreStatusError} from './store_status_error.js';

/**
 * Statuses with which the store rejects a call before it proposes the write.
 *
 * Any other status, for example 408 or 503, may follow a write that took
 * effect.
 */
const REJECTED_STATUSES = new Set([400, 401, 403, 404, 413, 429]);

/** Whether a call that failed with this error certainly had no effect. */
export function hasNoEffect(thrown: unknown): boolean {
  if (thrown instanceof StoreStatusError)
    return REJECTED_STATUSES.has(thrown.status);
  return isConnectFailure(thrown);
}
