/** Kind of change that an audit record describes. */
export type AuditAction =
  'configuration' | 'take-out' | 'bring-back' | 'eviction' | 'quarantine';
