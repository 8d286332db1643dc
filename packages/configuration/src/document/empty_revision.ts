import type {ConfigurationRevision} from './configuration_revision_types.js';

/** What is in force before anything was published. */
export const EMPTY_REVISION: ConfigurationRevision = {
  revision: 0,
  document: {changeId: '', author: 'nobody', objects: []},
};
