/** Fault applied to one call on a fake link. */
export interface LinkFault {
  /** `dropped`: the call never arrives; `lost`: its reply never arrives. */
  readonly kind: 'none' | 'refused' | 'dropped' | 'lost';
  /** Delay until the call arrives. */
  readonly milliseconds: number;
}
