/** Prefix of the published document and its history. */
const PUBLISHED = '/chicoryspring/configuration/';

/** Keys of the configuration in the store. */
export const ConfigurationKeys = {
  /**
   * Holds the change ID of the newest publication, a small value. It lies under
   * the prefix that entries watch, so that they see each publication.
   */
  head: '/chicoryspring/live/head',
  /** Prefix of the document and the history. */
  published: PUBLISHED,
  document: `${PUBLISHED}document`,
  history: `${PUBLISHED}history`,
} as const;
