/**
 * Kind of change that an audit record describes.
 *
 * `take-out` and `bring-back` set whether a failure domain is in service.
 */
export type AuditAction =
  'configuration' | 'take-out' | 'bring-back' | 'eviction' | 'quarantine';
