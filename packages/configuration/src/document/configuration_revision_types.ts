import type {ConfigurationDocument} from './configuration_document_types.js';

/** A document with the store revision of its write; 0 before the first. */
export interface ConfigurationRevision {
  readonly revision: number;
  readonly document: ConfigurationDocument;
}
