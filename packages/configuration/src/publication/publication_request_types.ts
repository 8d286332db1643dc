import type {AuditAction} from '../audit/audit_action_types.js';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';

/** A request to publish a checked set of objects. */
export interface PublicationRequest {
  /** Objects that passed the check. */
  readonly objects: readonly ConfigurationObject[];
  /** Objects before the change, from which its summary is made. */
  readonly replaced: readonly ConfigurationObject[];
  /** Revision that the set replaces. */
  readonly expectedRevision: number;
  readonly author: string;
  readonly action: AuditAction;
  /** Object of the audit record, for instance `FailureDomain/kinangop`. */
  readonly subject: string;
}
