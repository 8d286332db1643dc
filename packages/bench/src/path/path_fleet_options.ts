/** First port of the measured fleet. */
const BASE_PORT = 20_000;

/** The fleet of the path measurement; its targets never queue. */
export const PATH_FLEET_OPTIONS = {
  entries: 2,
  workers: 3,
  failureDomains: 3,
  basePort: BASE_PORT,
  shards: 8,
  slots: 64,
  connections: 64,
  serviceMilliseconds: 1,
} as const;
