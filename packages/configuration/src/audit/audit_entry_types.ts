import type {AuditAction} from './audit_action_types.js';

/** A change to be recorded in the audit trail. */
export interface AuditEntry {
  /** Name of the operator, or of the process that acted by itself. */
  readonly actor: string;
  readonly action: AuditAction;
  /** What was changed, for instance `FailureDomain/kinangop`. */
  readonly object: string;
  readonly summary: string;
  /** Revision of the configuration that was changed, or acted under. */
  readonly fromRevision: number;
  /** `accepted`, or the kind of the error that refused the change. */
  readonly outcome: string;
}
