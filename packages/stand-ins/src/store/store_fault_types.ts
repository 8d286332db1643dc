/** How the store stand-in misbehaves. */
export interface StoreFault {
  readonly fault: 'none' | 'down' | 'slow' | 'reply-lost' | 'watch-silent';
  /** Share of the replies that are lost, 0 to 1. */
  readonly probability?: number;
  /** Time that each call takes while slow. */
  readonly delayMilliseconds?: number;
}
