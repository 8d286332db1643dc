/** What happens to one call of the in-memory store. */
export interface MemoryStoreFault {
  /**
   * `refused` fails before anything is sent, `dropped` is sent and never
   * applied, `lost` is applied and its reply never comes.
   */
  readonly kind: 'none' | 'refused' | 'dropped' | 'lost';
  /** Time until the call takes effect. */
  readonly requestMilliseconds: number;
  /** Time from the effect to the reply. */
  readonly replyMilliseconds: number;
}
