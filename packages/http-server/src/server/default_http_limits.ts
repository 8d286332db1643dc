import type {HttpLimits} from './http_limits_types.js';

/** Limits of a server that is created without its own. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  headerBytes: 16 * 1024,
  bodyBytes: 1024 * 1024,
  connections: 10_000,
  requestsPerConnection: 64,
  headerMilliseconds: 10_000,
  requestMilliseconds: 30_000,
  idleMilliseconds: 60_000,
  bodyWindowMilliseconds: 10_000,
  bodyWindowBytes: 4 * 1024,
};
