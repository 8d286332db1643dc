import type {AuditAction} from './audit_action_types.js';

/** Filter of audit records; an omitted field matches every record. */
export interface AuditFilter {
  readonly actor?: string | undefined;
  readonly action?: AuditAction | undefined;
  /** Substring of the object's `Kind/name`. */
  readonly object?: string | undefined;
  readonly outcome?: string | undefined;
  /** Earliest wall-clock time of a record, inclusive, in ISO 8601. */
  readonly since?: string | undefined;
  /** Maximum number of records; the newest are returned. */
  readonly limit: number;
}
