/** How the store stand-in misbehaves. */
export interface StoreFault {
  readonly fault:
    | 'none'
    | 'down'
    | 'slow'
    | 'reply-lost'
    | 'slow-link'
    | 'stalled'
    | 'status'
    | 'watch-silent'
    | 'watch-dropped';
  /** Share of the replies that are lost, 0 to 1. */
  readonly probability?: number;
  /** Time that each call takes while slow. */
  readonly delayMilliseconds?: number;
  /** HTTP status with which each call is refused. */
  readonly status?: number;
}
