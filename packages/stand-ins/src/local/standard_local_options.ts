import type {LocalOptions} from './local_options_types.js';

/** A small fleet; a spec gives what it needs otherwise, and its own ports. */
export const STANDARD_LOCAL_OPTIONS: LocalOptions = {
  entries: 2,
  workers: 3,
  failureDomains: 3,
  basePort: 18_000,
  shards: 8,
  slots: 8,
  connections: 64,
  serviceMilliseconds: 1,
};
