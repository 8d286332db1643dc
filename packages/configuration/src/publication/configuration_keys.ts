/** Prefix of what was published. */
const PUBLISHED = '/chicoryspring/configuration/';

/** Keys of the configuration in the store. */
export const ConfigurationKeys = {
  /** Small value that changes with each publication. */
  head: '/chicoryspring/live/head',
  /** Prefix of the document and the history. */
  published: PUBLISHED,
  document: `${PUBLISHED}document`,
  history: `${PUBLISHED}history`,
} as const;
