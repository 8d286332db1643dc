import type {ConfigurationRevision} from './configuration_revision_types.js';

/** The revision in force until one is published. */
export const EMPTY_REVISION: ConfigurationRevision = {
  revision: 0,
  document: {changeId: '', author: 'nobody', objects: []},
};
