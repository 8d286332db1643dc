/**
 * The operators' configuration: named objects, which are checked and published
 * as one set.
 */
export {type ConfigurationObject} from './objects/configuration_object_types.js';
export {configurationObjectSchema} from './objects/configuration_object_schema.js';
export {type CallerObject} from './objects/caller_object_types.js';
export {type ServiceObject} from './objects/service_object_types.js';
export {type ConfigurationDocument} from './document/configuration_document_types.js';
export {type ConfigurationRevision} from './document/configuration_revision_types.js';
export {configurationDocumentSchema} from './document/configuration_document_schema.js';
export {ActiveConfiguration} from './document/active_configuration.js';
export {type ConfigurationFinding} from './check/configuration_finding_types.js';
export {type ConfigurationCheck} from './check/configuration_check_types.js';
export {checkConfiguration} from './check/configuration_check.js';
export {type ConfigurationChange} from './safety/configuration_change_types.js';
export {type FleetUsage} from './safety/fleet_usage_types.js';
export {checkSafety} from './safety/configuration_safety.js';
export {type ConfigurationDifference} from './diff/configuration_difference_types.js';
export {diffConfiguration} from './diff/configuration_diff.js';
export {type PublishedRevision} from './history/published_revision_types.js';
export {type PublicationRequest} from './publication/publication_request_types.js';
export {type QueueObject} from './objects/queue_object_types.js';
export {type ConfigurationSource} from './publication/configuration_source_types.js';
export {ConfigurationReader} from './publication/configuration_reader.js';
export {ConfigurationPublisher} from './publication/configuration_publisher.js';
export {type AuditAction} from './audit/audit_action_types.js';
export {type AuditEntry} from './audit/audit_entry_types.js';
export {type AuditFilter} from './audit/audit_filter_types.js';
export {type AuditRecord} from './audit/audit_record_types.js';
export {AuditTrail} from './audit/audit_trail.js';
