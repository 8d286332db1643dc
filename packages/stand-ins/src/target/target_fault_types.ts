/** How the target stand-in misbehaves. */
export interface TargetFault {
  readonly fault:
    | 'none'
    | 'late'
    /** Begins the request; answers once the fault is another one. */
    | 'held'
    | 'truncated'
    | 'swapped'
    | 'lost'
    | 'duplicated';
  /** Time by which a late answer is late. */
  readonly delayMilliseconds?: number;
}
