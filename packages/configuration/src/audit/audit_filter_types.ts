import type {AuditAction} from './audit_action_types.js';

/** Which records are read; a field that is left out filters nothing. */
export interface AuditFilter {
  readonly actor?: string | undefined;
  readonly action?: AuditAction | undefined;
  /** Text that the object's kind and name contain. */
  readonly object?: string | undefined;
  readonly outcome?: string | undefined;
  /** Wall instant in ISO 8601 from which on records are read. */
  readonly since?: string | undefined;
  /** Most records that are read, the newest first. */
  readonly limit: number;
}
