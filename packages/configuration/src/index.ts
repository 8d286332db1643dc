/** The operators' configuration: named objects, checked and published whole. */
export type {ConfigurationObject} from './objects/configuration_object_types.js';
export type {CallerObject} from './objects/caller_object_types.js';
export type {ServiceObject} from './objects/service_object_types.js';
export type {ConfigurationDocument} from './document/configuration_document_types.js';
export type {ConfigurationRevision} from './document/configuration_revision_types.js';
export {configurationDocumentSchema} from './document/configuration_document_schema.js';
export {ConfigurationStore} from './document/configuration_store.js';
export type {ConfigurationFinding} from './check/configuration_finding_types.js';
export {checkConfiguration} from './check/configuration_check.js';
export {ConfigurationPublisher} from './publication/configuration_publisher_behaviour.js';
