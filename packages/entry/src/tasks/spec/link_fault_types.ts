/** What happens to one message of a fake link. */
export interface LinkFault {
  /** `dropped` never arrives; `lost` arrives and its answer doesn't. */
  readonly kind: 'none' | 'refused' | 'dropped' | 'lost';
  /** Time until it arrives. */
  readonly milliseconds: number;
}
