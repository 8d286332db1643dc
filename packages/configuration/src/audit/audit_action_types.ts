/** What an audit record is about. */
export type AuditAction =
  'configuration' | 'take-out' | 'bring-back' | 'eviction' | 'quarantine';
