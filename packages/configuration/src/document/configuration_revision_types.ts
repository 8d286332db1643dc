import type {ConfigurationDocument} from './configuration_document_types.js';

/** A document with the revision at which the store took it; 0 is empty. */
export interface ConfigurationRevision {
  readonly revision: number;
  readonly document: ConfigurationDocument;
}
