/** Code of a connection attempt of undici that took too long. */
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';
/** System calls that precede an established connection. */
const CONNECTING_SYSTEM_CALLS = new Set(['connect', 'getaddrinfo']);

interface SystemError {
  readonly code?: unknown;
  readonly syscall?: unknown;
  /** Errors of the addresses of one name, each of which was tried. */
  readonly errors?: readonly unknown[];
}

/**
 * Whether a call over HTTP failed while its connection was being established, so
 * that this attempt sent nothing.
 *
 * It says nothing of earlier attempts, and nothing of the process at the other
 * end. The code alone doesn't show it: an established connection that has been
 * given up fails with the last error of its path, for example `ECONNREFUSED`.
 */
export function isConnectFailure(thrown: unknown): boolean {
  if (typeof thrown !== 'object' || thrown === null) return false;
  const {code, syscall, errors} = thrown as SystemError;
  if (code === CONNECT_TIMEOUT_CODE) return true;
  if (CONNECTING_SYSTEM_CALLS.has(String(syscall))) return true;
  return errors !== undefined && errors.length > 0
    ? errors.every(isConnectFailure)
    : false;
}
