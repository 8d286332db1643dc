import type {AuditAction} from '../audit/audit_action_types.js';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** A checked set that an operator wants to publish. */
export interface PublicationRequest {
  /** Objects that passed the check. */
  readonly objects: readonly ConfigurationObject[];
  /** Objects that they replace, for the summary of the change. */
  readonly replaced: readonly ConfigurationObject[];
  /** Revision that the set replaces. */
  readonly expectedRevision: number;
  readonly author: string;
  readonly action: AuditAction;
  /** What the audit trail names as changed. */
  readonly subject: string;
}
