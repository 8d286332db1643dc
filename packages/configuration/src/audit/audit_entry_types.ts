import type {AuditAction} from './audit_action_types.js';

/** A change to be recorded in the audit trail. */
export interface AuditEntry {
  /** Name of the operator, or of the process for an automatic change. */
  readonly actor: string;
  readonly action: AuditAction;
  /** Object that was changed, for instance `FailureDomain/kinangop`. */
  readonly object: string;
  readonly summary: string;
  /**
   * Revision that a change of the configuration replaces; for any other change
   * the revision in force at the time.
   */
  readonly fromRevision: number;
  /** `accepted`, or the kind of the error with which the change failed. */
  readonly outcome: string;
}
