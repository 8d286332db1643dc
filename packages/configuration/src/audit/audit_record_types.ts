import type {AuditEntry} from './audit_entry_types.js';

/** An audit entry with its sequence number and time. */
export interface AuditRecord extends AuditEntry {
  /** Position in the whole trail, from 1, without gaps. */
  readonly sequence: number;
  /** Wall-clock time of the change, in ISO 8601. */
  readonly at: string;
}
