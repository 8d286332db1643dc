/** Injected fault and delays of one call to the in-memory store. */
export interface MemoryStoreFault {
  /**
   * `refused` fails before anything is sent. `dropped` is sent but never
   * applied. `lost` is applied, but its reply never arrives.
   */
  readonly kind: 'none' | 'refused' | 'dropped' | 'lost';
  /** Time from the call to its effect. */
  readonly requestMilliseconds: number;
  /** Time from the effect to the reply. */
  readonly replyMilliseconds: number;
}
