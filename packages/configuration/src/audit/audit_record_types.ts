import type {AuditEntry} from './audit_entry_types.js';

/** An entry of the audit trail. */
export interface AuditRecord extends AuditEntry {
  /** Counts from 1 over the whole trail. */
  readonly sequence: number;
  /** Wall instant of the change, in ISO 8601. */
  readonly at: string;
}
